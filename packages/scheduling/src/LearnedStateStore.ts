/**
 * Persists learned state at an interval, and restores the state of the previous leader.
 * Without it a new leader would disturb serving tasks until it has learned the pairs of
 * images again.
 */

import type { Clock, Logger, Timer } from "@rackspan/common";
import type {
  InterferenceEstimator,
  ServingLoadForecaster,
} from "@rackspan/jobs";
import {
  learnedRecordAgeMs,
  learnedKeyOf,
  type LearnedRecord,
  type LearnedTail,
} from "@rackspan/state";
import type { RuntimeEstimator } from "./RuntimeEstimator.js";

/** Older records do not describe the current workload, milliseconds. */
const MAX_RECORD_AGE_MS = 600_000;

export interface LearnedStateStoreOptions {
  readonly interference: InterferenceEstimator;
  readonly servingLoads: ServingLoadForecaster;
  readonly estimates: RuntimeEstimator;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Milliseconds; 0 for never. */
  readonly intervalMs: number;
  readonly write: (record: LearnedRecord) => void;
}

export class LearnedStateStore {
  private timer: Timer | undefined;

  constructor(private readonly options: LearnedStateStoreOptions) {}

  start(): void {
    const { clock, intervalMs } = this.options;
    if (intervalMs === 0) return;
    this.timer = clock.after(intervalMs, () => {
      this.persist();
      this.start();
    });
  }

  stop(): void {
    this.timer?.cancel();
  }

  /**
   * Restores what a previous leader has learned, where this one has learned nothing
   * yet.
   */
  restore(records: readonly LearnedRecord[]): void {
    const { estimates, clock, logger, intervalMs } = this.options;
    if (intervalMs === 0) return;
    for (const record of records) {
      const age = learnedRecordAgeMs(record, clock.now());
      const taken =
        age <= MAX_RECORD_AGE_MS &&
        (record.kind === "tail"
          ? this.restoreTail(record, age)
          : estimates.restore(record));
      const key = learnedKeyOf(record);
      logger.info("learnt.restored", { key, age: Math.round(age), taken });
    }
  }

  private restoreTail(record: LearnedTail, ageMs: number): boolean {
    const { interference, servingLoads, clock } = this.options;
    const { serving, swing } = record;
    const now = clock.monotonic();
    if (swing) servingLoads.restore(serving, swing, { now, ageMs });
    return interference.restore(record, ageMs);
  }

  private persist(): void {
    const { interference, servingLoads, estimates, clock, write } =
      this.options;
    const now = clock.now();
    for (const record of interference.takeChanged(now)) {
      const swing = servingLoads.snapshot(record.serving, clock.monotonic());
      write(swing ? { ...record, swing } : record);
    }
    const corrections = estimates.takeChanged(now);
    if (corrections) write(corrections);
  }
}
