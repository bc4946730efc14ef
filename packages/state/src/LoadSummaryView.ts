/**
 * The newest load summary that the entry has read, and its age. The age counts from the
 * arrival at this entry, because the clocks of leader and entry may differ.
 */

import { describeError, type Clock, type Logger } from "@rackspan/common";
import type { KeyedRecord } from "@rackspan/ports";
import { PROGRESS_KEYS } from "./jobRecords.js";
import { decodeLoadSummary, type LoadSummary } from "./loadSummary.js";

/**
 * Number of summaries over which the fastest one is determined: about 10 s. A leader's
 * clock that is set back makes summaries look old for no longer than that.
 */
const CLOCK_OFFSET_SUMMARIES = 20;

export interface LoadSummaryViewOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Called when a new summary has arrived. */
  readonly onSummary: () => void;
}

interface ArrivedSummary {
  readonly summary: LoadSummary;
  /** Monotonic time from which its age counts. */
  readonly from: number;
  /** Differences between the clocks in the last summaries of this epoch, milliseconds. */
  readonly clockOffsets: readonly number[];
  /** Number of the read in which the first summary of this epoch arrived. */
  readonly firstRead: number;
  /** Whether a summary of this epoch has arrived in an earlier read. */
  readonly isConfirmed: boolean;
}

export class LoadSummaryView {
  private latest: ArrivedSummary | undefined;
  private reads = 0;

  constructor(private readonly options: LoadSummaryViewOptions) {}

  /**
   * Undefined until summaries of the leader's current epoch have arrived in two reads:
   * those of the first one may be of any age.
   */
  get current():
    { readonly summary: LoadSummary; readonly ageMs: number } | undefined {
    const { latest } = this;
    if (!latest?.isConfirmed) return undefined;
    const ageMs = this.options.clock.monotonic() - latest.from;
    return { summary: latest.summary, ageMs };
  }

  applyProgressRecords(records: readonly KeyedRecord[]): void {
    this.reads += 1;
    for (const { key, value } of records) {
      if (key !== PROGRESS_KEYS.load || !value) continue;
      try {
        this.apply(decodeLoadSummary(key, value));
      } catch (err) {
        // A later version may write another format. Without a summary nothing is refused.
        this.latest = undefined;
        const { logger } = this.options;
        logger.warn("load.unreadable", { error: describeError(err) });
      }
    }
  }

  private apply(summary: LoadSummary): void {
    const { clock, onSummary } = this.options;
    const now = clock.monotonic();
    const previous = this.latest;
    if (previous && summary.epoch < previous.summary.epoch) return;
    const isSameEpoch = previous?.summary.epoch === summary.epoch;
    // The topic was read anew: the record is as old as before.
    if (isSameEpoch && previous.summary.writtenAt === summary.writtenAt) return;
    const offset = now - summary.writtenAt;
    const known = isSameEpoch ? previous.clockOffsets : [];
    const clockOffsets = [...known, offset].slice(-CLOCK_OFFSET_SUMMARIES);
    // A summary that took longer than the fastest one is older by the difference.
    const from = now - (offset - Math.min(...clockOffsets));
    const firstRead = isSameEpoch ? previous.firstRead : this.reads;
    const isConfirmed = firstRead < this.reads;
    this.latest = { summary, from, clockOffsets, firstRead, isConfirmed };
    onSummary();
  }
}
