/**
 * Appends snapshots periodically, well before the log drops the
 * entries that they cover.
 */

import {
  AbortedError,
  describeError,
  jitter,
  sleep,
  type Clock,
  type Logger,
  type Metrics,
  type Random,
} from "@rackspan/common";
import type { Fold } from "./Fold.js";
import type { LogFollower } from "./LogFollower.js";
import type { SnapshotStore } from "./snapshots.js";

export interface SnapshotWriterOptions {
  readonly fold: Fold;
  readonly follower: LogFollower;
  readonly store: SnapshotStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly logger: Logger;
  /** Retention time of log entries, milliseconds. */
  readonly retentionMs: number;
  /**
   * Number of entries after which a snapshot is written regardless
   * of the age of the last one.
   */
  readonly everyEntries: number;
}

/** Snapshots written per retention time of the log. */
const SNAPSHOTS_PER_RETENTION = 6;
const CHECKS_PER_SNAPSHOT = 4;

export class SnapshotWriter {
  private lastWriteAt: number;

  constructor(private readonly options: SnapshotWriterOptions) {
    this.lastWriteAt = options.clock.monotonic();
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock, random, logger, retentionMs } = this.options;
    const intervalMs = retentionMs / SNAPSHOTS_PER_RETENTION;
    try {
      while (!signal.aborted) {
        // Half of the wait is random, so that two writers rarely
        // write at the same time.
        await sleep(
          clock,
          jitter(random, intervalMs / CHECKS_PER_SNAPSHOT),
          signal,
        );
        await this.writeIfDue(intervalMs).catch((err: unknown) =>
          logger.warn("snapshot.failed", { error: describeError(err) }),
        );
      }
    } catch (err) {
      if (!(err instanceof AbortedError)) throw err;
    }
  }

  private async writeIfDue(intervalMs: number): Promise<void> {
    const { follower, store, fold, clock, metrics, logger } = this.options;
    if (!follower.caughtUp) return;
    const newest = await store.newestCoveredOffset();
    const entries = follower.position - Math.max(0, newest);
    const old = clock.monotonic() - this.lastWriteAt >= intervalMs;
    if (entries < this.options.everyEntries && !(old && entries > 0)) return;
    // Both are read without an await in between, so that the state
    // is the one at `covered`.
    const snapshot = { covered: follower.position, state: fold.toSnapshot() };
    await store.write(snapshot);
    this.lastWriteAt = clock.monotonic();
    metrics.count("snapshots_written");
    logger.info("snapshot.written", { covered: snapshot.covered, entries });
  }
}
