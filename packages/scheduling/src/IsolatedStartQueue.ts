/**
 * Waiting order of suspect tasks that need an isolated start. The order of work goes by
 * utility, and reserved hosts become free one at a time: by utility alone a task of low
 * utility would wait for as long as suspect tasks with a higher one arrive.
 */

import type { Monotonic } from "@rackspan/common";
import { CRASH_LIMITS, type JobTask } from "@rackspan/jobs";

export class IsolatedStartQueue {
  /** Start of each task's wait, the longest wait first. */
  private readonly waitingSince = new Map<JobTask, Monotonic>();
  /** Tasks that go before others in this scheduling cycle and have not been taken yet. */
  private overdue: JobTask[] = [];

  startCycle(now: Monotonic): void {
    for (const task of [...this.waitingSince.keys()]) {
      if (!isWaiting(task)) this.waitingSince.delete(task);
    }
    this.overdue = [...this.waitingSince.keys()].filter((task) =>
      this.hasWaitedLong(task, now),
    );
  }

  enqueue(task: JobTask, now: Monotonic): void {
    if (!this.waitingSince.has(task)) this.waitingSince.set(task, now);
  }

  remove(task: JobTask): void {
    this.waitingSince.delete(task);
  }

  hasWaitedLong(task: JobTask, now: Monotonic): boolean {
    const waitingSince = this.waitingSince.get(task);
    if (waitingSince === undefined) return false;
    return now - waitingSince >= CRASH_LIMITS.isolationGraceMs;
  }

  /**
   * Returns the overdue tasks among these, the longest wait first. Each is returned
   * once per scheduling cycle.
   */
  takeOverdue(isAmong: (task: JobTask) => boolean): readonly JobTask[] {
    const taken = this.overdue.filter(isAmong);
    this.overdue = this.overdue.filter((task) => !isAmong(task));
    return taken.filter(isWaiting);
  }
}

const isWaiting = (task: JobTask): boolean =>
  !task.step.job.isEnded && task.step.waiting.has(task);
