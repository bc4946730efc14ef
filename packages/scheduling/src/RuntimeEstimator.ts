/**
 * Corrects what callers guess about run times by what the tasks of the same step took,
 * and before one is done by those of their queue.
 * Soft state: a new leader takes over what the last one kept, where there is any.
 */

import { MILLI_CORES_PER_CORE, type Instant } from "@rackspan/common";
import type { JobRun, StepRun } from "@rackspan/jobs";
import type { LearnedEstimates, QueueKey } from "@rackspan/state";

const ESTIMATES = {
  /** Weight of one observation in the moving mean of the logarithm. */
  weight: 0.05,
  /** A single observation counts as at most this factor, either way. */
  maxFactor: 8,
} as const;

export class RuntimeEstimator {
  /** Mean natural logarithm of (time taken / estimate), by queue. */
  private readonly corrections = new Map<QueueKey, number>();

  /**
   * Mean run time of the tasks of a step that are done, milliseconds, and their number.
   * A step's tasks are alike, and callers' estimates are often far off.
   */
  private readonly seen = new WeakMap<StepRun, { ms: number; tasks: number }>();

  private changed = false;

  /** @param corrects whether run times that were seen change anything */
  constructor(private readonly corrects: boolean) {}

  /** @param tookMs run time of one task that ended done */
  recordRunTime(step: StepRun, tookMs: number): void {
    if (!this.corrects || tookMs <= 0) return;
    this.noteSeen(step, tookMs);
    if (step.spec.estimateMs <= 0) return;
    const limit = Math.log(ESTIMATES.maxFactor);
    const seen = Math.log(tookMs / step.spec.estimateMs);
    const bounded = Math.max(-limit, Math.min(limit, seen));
    const { queue } = step.job.accepted.spec;
    const before = this.corrections.get(queue) ?? 0;
    this.corrections.set(queue, before + ESTIMATES.weight * (bounded - before));
    this.changed = true;
  }

  /** What was learnt; undefined when that is nothing new since it was last taken here. */
  takeChanged(now: Instant): LearnedEstimates | undefined {
    if (!this.changed) return undefined;
    this.changed = false;
    const corrections = [...this.corrections];
    return { kind: "estimates", writtenAt: now, corrections };
  }

  /**
   * Takes what a former leader learnt.
   * @returns whether it was of use: nothing was learnt here yet
   */
  restore({ corrections }: LearnedEstimates): boolean {
    if (!this.corrects || this.corrections.size > 0) return false;
    for (const [queue, value] of corrections)
      this.corrections.set(queue, value);
    return true;
  }

  private noteSeen(step: StepRun, tookMs: number): void {
    const { ms, tasks } = this.seen.get(step) ?? { ms: 0, tasks: 0 };
    const mean = ms + (tookMs - ms) / (tasks + 1);
    this.seen.set(step, { ms: mean, tasks: tasks + 1 });
  }

  /** Expected run time of one task, milliseconds. */
  taskMs(step: StepRun): number {
    const seen = this.seen.get(step);
    if (seen) return seen.ms;
    const { queue } = step.job.accepted.spec;
    const correction = Math.exp(this.corrections.get(queue) ?? 0);
    return step.estimateMs * correction;
  }

  /** Core-milliseconds that the job still needs; lasting steps count nothing. */
  remainingWork(job: JobRun): number {
    return this.sumWork(
      job,
      ({ tasks, doneCount }) => tasks.length - doneCount,
    );
  }

  /** The same of tasks that run nowhere. */
  unplacedWork(job: JobRun): number {
    return this.sumWork(job, ({ waiting }) => waiting.size);
  }

  /** The same of all tasks, also of those that are done. */
  totalWork(job: JobRun): number {
    return this.sumWork(job, ({ tasks }) => tasks.length);
  }

  private sumWork(job: JobRun, count: (step: StepRun) => number): number {
    let total = 0;
    for (const step of job.steps) {
      if (step.spec.lasting) continue;
      total += count(step) * this.taskMs(step) * step.spec.demand.milliCores;
    }
    return total / MILLI_CORES_PER_CORE;
  }

  /** Milliseconds of the longest chain of steps, as if each ran at once. */
  chainMs(job: JobRun, occurrence: number): number {
    return this.longestChain(job, occurrence, () => true);
  }

  /** Milliseconds of the longest chain of the steps that are not done yet. */
  remainingChainMs(job: JobRun, occurrence: number): number {
    return this.longestChain(job, occurrence, (step) => !step.isDone);
  }

  private longestChain(
    job: JobRun,
    occurrence: number,
    counts: (step: StepRun) => boolean,
  ): number {
    const steps = job.steps.filter((step) => step.occurrence === occurrence);
    const ends: number[] = [];
    for (const step of steps) {
      const before = step.spec.after.map((number) => ends[number] ?? 0);
      const own = counts(step) ? this.taskMs(step) : 0;
      ends[step.number] = Math.max(0, ...before) + own;
    }
    return Math.max(0, ...ends);
  }
}
