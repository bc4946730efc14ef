/**
 * Persists what the next leader may conclude from the progress records: whether they name
 * the host of each task that may be running.
 */

import { describeError, type Epoch, type Logger } from "@rackspan/common";
import {
  encodeTerm,
  PROGRESS_KEYS,
  type JobView,
  type TermRecord,
  type TopicWriter,
} from "@rackspan/state";
import type { StoredRoster } from "./StoredRoster.js";

export interface TermLogOptions {
  /** The state that previous leaders left, read after their writers were fenced. */
  readonly view: Pick<
    JobView,
    | "lastTerm"
    | "hasUnreadableTerm"
    | "hostsWithoutPlacements"
    | "hasUnreadableProgress"
  >;
  /** Writer of progress records under the epoch of this term. */
  readonly writer: TopicWriter;
  readonly epoch: Epoch;
  /** Whether this leader records placements. */
  readonly recordsPlacements: boolean;
  readonly logger: Logger;
}

export class TermLog {
  constructor(private readonly options: TermLogOptions) {}

  /**
   * Records the term. Called before anything is started.
   * @returns the epoch since which every leader has recorded all placements; undefined if
   *   their records are not to be trusted, or this leader records none itself
   */
  async begin(): Promise<number | undefined> {
    const { recordsPlacements, epoch, view, logger } = this.options;
    if (!recordsPlacements) {
      // Its starts are not recorded, so no later leader may rely on earlier records. A term
      // record that this version cannot read may promise them to another version.
      const isWithout = view.lastTerm?.placementsSince === undefined;
      if (!isWithout || view.hasUnreadableTerm) await this.write({});
      return undefined;
    }
    const distrust = this.reasonToDistrust();
    const placementsSince = distrust
      ? undefined
      : view.lastTerm?.placementsSince;
    await this.write({ placementsSince });
    logger.info("term.recorded", {
      epoch,
      placementsSince,
      distrust,
      lastEpoch: view.lastTerm?.epoch,
    });
    return placementsSince;
  }

  /**
   * Records that the progress records name the host of each task that may be running.
   * Called once that is persisted, if `begin` returned undefined. Rejects after a failure;
   * it may then be called again.
   */
  async markComplete(roster: StoredRoster): Promise<void> {
    const { epoch, logger } = this.options;
    try {
      await roster.recordPlacements();
      await this.write({ placementsSince: Number(epoch) });
      logger.info("term.placements-complete", { epoch });
    } catch (err) {
      // The next leader trusts no placements, and waits for all hosts.
      const error = describeError(err);
      logger.warn("term.not-recorded", { epoch, error });
      throw err;
    }
  }

  private reasonToDistrust(): string | undefined {
    const { lastTerm, hostsWithoutPlacements, hasUnreadableProgress } =
      this.options.view;
    if (lastTerm?.placementsSince === undefined) return "no-placements";
    // A leader of a version without placements wrote them.
    if (hostsWithoutPlacements.length > 0) return "hosts-without-placements";
    return hasUnreadableProgress ? "unreadable-progress" : undefined;
  }

  private async write(term: Omit<TermRecord, "epoch">): Promise<void> {
    const { writer, epoch } = this.options;
    const value = encodeTerm({ epoch: Number(epoch), ...term });
    await writer.write({ key: PROGRESS_KEYS.term, value }).persisted;
  }
}
