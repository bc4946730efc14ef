/**
 * Corrects callers' estimates of run times by the run times of finished tasks of the
 * same step, or of the same queue while no task of the step is done. This is soft
 * state: a new leader restores what the previous one persisted, if there is any.
 */

import { MILLI_CORES_PER_CORE, type Instant } from "@rackspan/common";
import type { JobRun, StepRun } from "@rackspan/jobs";
import type { LearnedEstimates, QueueKey } from "@rackspan/state";

const ESTIMATES = {
  /** Weight of one observation in the moving mean of the logarithm. */
  weight: 0.05,
  /** Maximum factor, in either direction, that a single observation counts as. */
  maxFactor: 8,
} as const;

export class RuntimeEstimator {
  /** Mean natural logarithm of (time taken / estimate), by queue. */
  private readonly corrections = new Map<QueueKey, number>();

  /**
   * Mean run time of the finished tasks of a step, milliseconds, and their number.
   * Tasks of a step are alike, and callers' estimates are often far off.
   */
  private readonly observed = new WeakMap<
    StepRun,
    { ms: number; tasks: number }
  >();

  private changed = false;

  /** @param isEnabled whether observed run times correct the estimates */
  constructor(private readonly isEnabled: boolean) {}

  /** @param tookMs run time of one task that ended as done */
  recordRunTime(step: StepRun, tookMs: number): void {
    if (!this.isEnabled || tookMs <= 0) return;
    this.recordObserved(step, tookMs);
    if (step.spec.estimateMs <= 0) return;
    const limit = Math.log(ESTIMATES.maxFactor);
    const observed = Math.log(tookMs / step.spec.estimateMs);
    const bounded = Math.max(-limit, Math.min(limit, observed));
    const { queue } = step.job.accepted.spec;
    const previous = this.corrections.get(queue) ?? 0;
    this.corrections.set(
      queue,
      previous + ESTIMATES.weight * (bounded - previous),
    );
    this.changed = true;
  }

  /**
   * Returns the learned corrections; undefined if they have not changed since the last
   * call.
   */
  takeChanged(now: Instant): LearnedEstimates | undefined {
    if (!this.changed) return undefined;
    this.changed = false;
    const corrections = [...this.corrections];
    return { kind: "estimates", writtenAt: now, corrections };
  }

  /**
   * Restores what a previous leader has learned.
   * @returns whether it was used; it is ignored if something was learned here already
   */
  restore({ corrections }: LearnedEstimates): boolean {
    if (!this.isEnabled || this.corrections.size > 0) return false;
    for (const [queue, value] of corrections)
      this.corrections.set(queue, value);
    return true;
  }

  private recordObserved(step: StepRun, tookMs: number): void {
    const { ms, tasks } = this.observed.get(step) ?? { ms: 0, tasks: 0 };
    const mean = ms + (tookMs - ms) / (tasks + 1);
    this.observed.set(step, { ms: mean, tasks: tasks + 1 });
  }

  /** Returns the run times seen in the queue, relative to the callers' estimates. */
  runTimeRatio(queue: QueueKey): number {
    return Math.exp(this.corrections.get(queue) ?? 0);
  }

  /** Returns the expected run time of one task, milliseconds. */
  taskMs(step: StepRun): number {
    const observed = this.observed.get(step);
    if (observed) return observed.ms;
    const { queue } = step.job.accepted.spec;
    return step.estimateMs * this.runTimeRatio(queue);
  }

  /**
   * Returns the core-milliseconds that the job still needs. Lasting steps are not
   * counted.
   */
  remainingWork(job: JobRun): number {
    return this.sumWork(
      job,
      ({ tasks, doneCount }) => tasks.length - doneCount,
    );
  }

  /**
   * Returns the core-milliseconds of the tasks that are not placed. Lasting steps are
   * not counted.
   */
  unplacedWork(job: JobRun): number {
    return this.sumWork(job, ({ waiting }) => waiting.size);
  }

  /**
   * Returns the core-milliseconds of all tasks, including finished ones. Lasting steps
   * are not counted.
   */
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

  /**
   * Returns the duration of the longest chain of steps, milliseconds, if all tasks of a
   * step run at the same time.
   */
  chainMs(job: JobRun, occurrence: number): number {
    return this.longestChain(job, occurrence, () => true);
  }

  /** Returns the duration of the longest chain of unfinished steps, milliseconds. */
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
      const previous = step.spec.after.map((number) => ends[number] ?? 0);
      const ownMs = counts(step) ? this.taskMs(step) : 0;
      ends[step.number] = Math.max(0, ...previous) + ownMs;
    }
    return Math.max(0, ...ends);
  }
}
