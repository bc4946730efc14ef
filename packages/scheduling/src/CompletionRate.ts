/**
 * Measures the capacity that bulk work gets: core-milliseconds of filling tasks that
 * ended as done per millisecond, by priority. The free cores of the hosts do not show
 * it, since filling tasks use what serving and urgent tasks leave at each moment.
 */

import type { Clock, Monotonic } from "@rackspan/common";

const RATE = {
  /**
   * Length of the window, milliseconds: about two run times of a bulk task, so that the
   * ends of one wave of tasks do not move the rate much.
   */
  windowMs: 5_000,
  /** The rate is unknown before this time of measuring, milliseconds. */
  minMeasuredMs: 2_500,
} as const;

interface DoneWork {
  readonly at: Monotonic;
  readonly work: number;
}

export class CompletionRate {
  private readonly doneByPriority = new Map<number, DoneWork[]>();
  private readonly firstAt = new Map<number, Monotonic>();

  constructor(private readonly clock: Clock) {}

  /** @param work core-milliseconds of a task that ended as done */
  record(priority: number, work: number): void {
    const at = this.clock.monotonic();
    this.removeOld(priority);
    const done = this.doneByPriority.get(priority);
    if (done) {
      done.push({ at, work });
      return;
    }
    this.firstAt.set(priority, at);
    this.doneByPriority.set(priority, [{ at, work }]);
  }

  /** Returns core-milliseconds per millisecond; undefined while it is unknown. */
  of(priority: number): number | undefined {
    this.removeOld(priority);
    const done = this.doneByPriority.get(priority);
    const firstAt = this.firstAt.get(priority);
    if (!done || firstAt === undefined) return undefined;
    const now = this.clock.monotonic();
    const measuredMs = Math.min(RATE.windowMs, now - firstAt);
    if (measuredMs < RATE.minMeasuredMs) return undefined;
    const total = done.reduce((sum, { work }) => sum + work, 0);
    return total / measuredMs;
  }

  /** Removes what left the window. After a pause of a window the rate is measured anew. */
  private removeOld(priority: number): void {
    const done = this.doneByPriority.get(priority);
    if (!done) return;
    const oldest = this.clock.monotonic() - RATE.windowMs;
    const first = done.findIndex(({ at }) => at > oldest);
    if (first >= 0) {
      done.splice(0, first);
      return;
    }
    this.doneByPriority.delete(priority);
    this.firstAt.delete(priority);
  }
}
