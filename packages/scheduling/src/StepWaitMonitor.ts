/**
 * Records why jobs end late: how long their steps waited for hosts, how many tasks of jobs
 * that were accepted later started meanwhile, and how long the last task of a step ran
 * after all others had ended.
 */

import type { Monotonic } from "@rackspan/common";
import type { JobRun, StepRun } from "@rackspan/jobs";
import type { Candidate } from "./stepOrders.js";

/** Times of one step; undefined until they are known. */
interface StepTimes {
  /** When a task of the step could first be placed. */
  readonly runnableAt: Monotonic;
  /** When the last task was first placed; a refused start does not count. */
  placedAt: Monotonic | undefined;
  /** When all tasks but one had ended. */
  oneLeftAt: Monotonic | undefined;
  doneAt: Monotonic | undefined;
  /** Number of tasks of later jobs of the same priority that were placed before it. */
  overtakenBy: number;
}

export interface JobWaits {
  /** Sum over the steps of the time from runnable to placed, milliseconds. */
  readonly waitedMs: number;
  readonly overtakenBy: number;
  /** Sum over the steps of the time for which only the last task ran, milliseconds. */
  readonly lastTaskMs: number;
}

export class StepWaitMonitor {
  private readonly times = new WeakMap<StepRun, StepTimes>();

  /** Called before a scheduling cycle. */
  recordCandidates(candidates: readonly Candidate[], now: Monotonic): void {
    for (const { step } of candidates) {
      if (this.times.has(step)) continue;
      this.times.set(step, {
        runnableAt: now,
        placedAt: undefined,
        oneLeftAt: undefined,
        doneAt: undefined,
        overtakenBy: 0,
      });
    }
  }

  /**
   * Called after a scheduling cycle.
   * @param waitingBefore number of waiting tasks of each candidate before the cycle
   */
  recordPlacements(
    candidates: readonly Candidate[],
    waitingBefore: readonly number[],
    now: Monotonic,
  ): void {
    const placed = candidates.flatMap(({ job, step }, at) => {
      const tasks = (waitingBefore[at] ?? 0) - step.waiting.size;
      return tasks > 0 ? [{ job, tasks }] : [];
    });
    if (placed.length === 0) return;
    for (const { job, step } of candidates) {
      const times = this.times.get(step);
      if (!times || times.placedAt !== undefined) continue;
      if (step.waiting.size === 0) times.placedAt = now;
      else times.overtakenBy += tasksOfLaterJobs(placed, job);
    }
  }

  /** Called when a task of the step waits again because its run did not start. */
  recordUnstarted(step: StepRun): void {
    const times = this.times.get(step);
    if (times) times.placedAt = undefined;
  }

  /** Called when a task of the step has ended as done. */
  recordDone(step: StepRun, now: Monotonic): void {
    const times = this.times.get(step);
    if (!times) return;
    const left = step.tasks.length - step.doneCount;
    if (left === 1) times.oneLeftAt ??= now;
    if (left === 0) times.doneAt ??= now;
  }

  waitsOf(job: JobRun, now: Monotonic): JobWaits {
    let waitedMs = 0;
    let overtakenBy = 0;
    let lastTaskMs = 0;
    for (const step of job.steps) {
      const times = this.times.get(step);
      if (!times || step.spec.lasting) continue;
      waitedMs += (times.placedAt ?? now) - times.runnableAt;
      overtakenBy += times.overtakenBy;
      if (times.oneLeftAt !== undefined)
        lastTaskMs += (times.doneAt ?? now) - times.oneLeftAt;
    }
    return { waitedMs, overtakenBy, lastTaskMs };
  }
}

const tasksOfLaterJobs = (
  placed: readonly { readonly job: JobRun; readonly tasks: number }[],
  { accepted, terms }: JobRun,
): number =>
  placed
    .filter(({ job }) => job.terms.priority === terms.priority)
    .filter(({ job }) => job.accepted.acceptedAt > accepted.acceptedAt)
    .reduce((sum, { tasks }) => sum + tasks, 0);
