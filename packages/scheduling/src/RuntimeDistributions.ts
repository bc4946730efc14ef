/**
 * Run time distributions by queue: of steps against their expected run time, and of
 * tasks against the others of their step. The two are separate because the first error
 * is shared by all tasks of a step, while the second makes single tasks late.
 */

import type { StepRun } from "@rackspan/jobs";
import type { LearnedRunTimes, QueueKey } from "@rackspan/state";
import { RuntimeDistribution } from "./RuntimeDistribution.js";

/** Finished tasks of a step from which their median stands for the step. */
const MIN_SIBLINGS = 3;

interface QueueDistributions {
  /** Run time of a step's tasks over the run time expected for them before the first ended. */
  readonly steps: RuntimeDistribution;
  /** Run time of a task over the median of its step. */
  readonly tasks: RuntimeDistribution;
}

interface StepTimes {
  readonly expectedMs: number;
  /** Ascending. */
  readonly times: number[];
}

export class RuntimeDistributions {
  private readonly byQueue = new Map<QueueKey, QueueDistributions>();
  private readonly byStep = new WeakMap<StepRun, StepTimes>();

  /**
   * @param tookMs run time of one task that ended as done
   * @param expectedMs its expected run time before its end was counted
   */
  record(step: StepRun, tookMs: number, expectedMs: number): void {
    if (tookMs <= 0) return;
    const seen = this.byStep.get(step) ?? { expectedMs, times: [] };
    this.byStep.set(step, seen);
    const { times } = seen;
    const at = times.findIndex((time) => time > tookMs);
    times.splice(at < 0 ? times.length : at, 0, tookMs);
    if (times.length < MIN_SIBLINGS) return;
    const queue = this.of(step.job.accepted.spec.queue);
    const median = times[Math.floor((times.length - 1) / 2)] ?? tookMs;
    // The first siblings are counted once their median is known.
    const isFirst = times.length === MIN_SIBLINGS;
    for (const time of isFirst ? times : [tookMs])
      queue.tasks.record(time / median);
    if (isFirst) queue.steps.record(median / seen.expectedMs);
  }

  /** Whether the run time of the step's tasks is known from finished ones. */
  isObserved(step: StepRun): boolean {
    return this.byStep.has(step);
  }

  of(queue: QueueKey): QueueDistributions {
    let distributions = this.byQueue.get(queue);
    if (!distributions) {
      distributions = {
        steps: new RuntimeDistribution(),
        tasks: new RuntimeDistribution(),
      };
      this.byQueue.set(queue, distributions);
    }
    return distributions;
  }

  toRecords(): LearnedRunTimes[] {
    return [...this.byQueue].map(([queue, { steps, tasks }]) => ({
      queue,
      steps: steps.toBuckets(),
      tasks: tasks.toBuckets(),
    }));
  }

  /** Adds what a previous leader has learned about queues that this one does not know. */
  restore(records: readonly LearnedRunTimes[]): void {
    for (const { queue, steps, tasks } of records) {
      if (this.byQueue.has(queue)) continue;
      const distributions = this.of(queue);
      distributions.steps.restore(steps);
      distributions.tasks.restore(tasks);
    }
  }
}
