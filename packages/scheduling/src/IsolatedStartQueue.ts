/**
 * Whose turn it is among suspected tasks that wait for a host where they may begin
 * apart. The order of work goes by worth, and hosts that are held come free one at a
 * time: by worth alone a task of little worth would wait for as long as suspects of
 * more come.
 */

import type { Monotonic } from "@rackspan/common";
import { CRASH_LIMITS, type JobTask } from "@rackspan/jobs";

export class IsolatedStartQueue {
  /** Since when each has waited, the one that has waited longest first. */
  private readonly since = new Map<JobTask, Monotonic>();
  /** Those whose turn is before others in this pass, and has not come yet. */
  private overdue: JobTask[] = [];

  startCycle(now: Monotonic): void {
    for (const task of [...this.since.keys()]) {
      if (!isWaiting(task)) this.since.delete(task);
    }
    this.overdue = [...this.since.keys()].filter((task) =>
      this.hasWaitedLong(task, now),
    );
  }

  enqueue(task: JobTask, now: Monotonic): void {
    if (!this.since.has(task)) this.since.set(task, now);
  }

  remove(task: JobTask): void {
    this.since.delete(task);
  }

  hasWaitedLong(task: JobTask, now: Monotonic): boolean {
    const since = this.since.get(task);
    if (since === undefined) return false;
    return now - since >= CRASH_LIMITS.isolationGraceMs;
  }

  /** The overdue tasks among these, in the order of their turns; each is given once a pass. */
  takeOverdue(isAmong: (task: JobTask) => boolean): readonly JobTask[] {
    const taken = this.overdue.filter(isAmong);
    this.overdue = this.overdue.filter((task) => !isAmong(task));
    return taken.filter(isWaiting);
  }
}

const isWaiting = (task: JobTask): boolean =>
  !task.step.job.isEnded && task.step.waiting.has(task);
