/** Decides when a pass over the waiting work is made: soon after it is asked for, and once for many. */

import type { Clock, Logger, Monotonic } from "@rackspan/common";
import { ENGINE } from "./engineTypes.js";

export interface SchedulingCycleTimerOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly runCycle: () => void;
}

export class SchedulingCycleTimer {
  /** When the pass that is due was asked for; undefined when none is. */
  private dueSince: Monotonic | undefined;

  constructor(private readonly options: SchedulingCycleTimerOptions) {}

  /** Makes a pass soon; many requests make one pass. Never makes it at once. */
  request(): void {
    if (this.dueSince !== undefined) return;
    const { clock } = this.options;
    this.dueSince = clock.monotonic();
    clock.after(ENGINE.minCycleIntervalMs, () => this.passIfDue());
  }

  /**
   * Makes a pass that was due long ago, without waiting for its timer: timers of a
   * process that is short of time run late. Only for callers between two changes of
   * the books: a pass in the middle of a report could start a task past its attempts,
   * or beside a run that the report lists.
   */
  runIfOverdue(): void {
    if (this.dueSince === undefined) return;
    const { clock, logger } = this.options;
    const overdueMs = clock.monotonic() - this.dueSince;
    if (overdueMs < ENGINE.cycleOverdueMs) return;
    logger.warn("dispatch.overdue", { overdueMs: Math.round(overdueMs) });
    this.passIfDue();
  }

  private passIfDue(): void {
    if (this.dueSince === undefined) return;
    this.dueSince = undefined;
    this.options.runCycle();
  }
}
