/**
 * Schedules scheduling cycles: a cycle runs soon after it is requested, once for any
 * number of requests.
 */

import type { Clock, Logger, Monotonic } from "@rackspan/common";
import { ENGINE } from "./engineTypes.js";

export interface SchedulingCycleTimerOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly runCycle: () => void;
}

export class SchedulingCycleTimer {
  /** When the pending cycle was requested; undefined if none is pending. */
  private pendingSince: Monotonic | undefined;

  constructor(private readonly options: SchedulingCycleTimerOptions) {}

  /**
   * Requests a cycle soon. Several requests lead to one cycle, which never runs
   * synchronously.
   */
  request(): void {
    if (this.pendingSince !== undefined) return;
    const { clock } = this.options;
    this.pendingSince = clock.monotonic();
    clock.after(ENGINE.minCycleIntervalMs, () => this.runIfDue());
  }

  /**
   * Runs a cycle that is long overdue without waiting for its timer, since timers fire
   * late in a process that lacks processor time. Call it only between two changes of
   * the engine's state: a cycle in the middle of a report could start a task beyond its
   * attempt limit, or beside a run that the report lists.
   */
  runIfOverdue(): void {
    if (this.pendingSince === undefined) return;
    const { clock, logger } = this.options;
    const overdueMs = clock.monotonic() - this.pendingSince;
    if (overdueMs < ENGINE.cycleOverdueMs) return;
    logger.warn("dispatch.overdue", { overdueMs: Math.round(overdueMs) });
    this.runIfDue();
  }

  private runIfDue(): void {
    if (this.pendingSince === undefined) return;
    this.pendingSince = undefined;
    this.options.runCycle();
  }
}
