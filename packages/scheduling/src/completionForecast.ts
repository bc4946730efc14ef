/**
 * Forecasts with which probability a job ends in time, or late but not worthless, if
 * its waiting tasks are placed now. Pure; the run time distributions are those of the
 * job's queue.
 */

import type { Instant } from "@rackspan/common";
import type { StepRun } from "@rackspan/jobs";
import type { RuntimeEstimator } from "./RuntimeEstimator.js";
import { TOO_LATE_FACTOR } from "@rackspan/routing";
import type { Candidate } from "./stepOrders.js";

const FORECAST = {
  /** Observations from which a distribution is used; before, estimates count as exact. */
  minObservations: 50,
  /** Quantiles of the steps' distribution that stand for it, each with equal weight. */
  stepQuantiles: [0.1, 0.3, 0.5, 0.7, 0.9],
} as const;

export interface CompletionForecast {
  /** Probability of an end within the objective. */
  readonly inTime: number;
  /** Probability of an end before the job is worthless, including those in time. */
  readonly useful: number;
}

export const forecastCompletion = (
  { job, step }: Candidate,
  estimates: RuntimeEstimator,
  now: Instant,
): CompletionForecast => {
  const { distributions } = estimates;
  const { steps, tasks } = distributions.of(job.accepted.spec.queue);
  const { stretch, targetLatencyMs } = job.terms;
  const ageMs = now - job.dueAt(step.occurrence);
  const unfinished = unfinishedTasks(job.steps, step.occurrence);
  const shareUpTo = (ratio: number): number => {
    if (tasks.count < FORECAST.minObservations) return ratio >= 1 ? 1 : 0;
    return tasks.shareUpTo(ratio) ** unfinished;
  };
  const ratios =
    steps.count < FORECAST.minObservations
      ? [1]
      : FORECAST.stepQuantiles.map((share) => steps.quantile(share));
  // The ratio applies to steps without a finished task. The two parts of a chain are
  // summed, which is exact where each step has one successor.
  const chainOf = (counts: (one: StepRun) => boolean): number =>
    estimates.longestChain(job, step.occurrence, (one) =>
      counts(one) ? estimates.taskMs(one) : 0,
    );
  const isKnown = (one: StepRun): boolean => distributions.isObserved(one);
  const knownMs = chainOf(isKnown);
  const unknownMs = chainOf((one) => !isKnown(one));
  const knownLeftMs = chainOf((one) => isKnown(one) && !one.isDone);
  const unknownLeftMs = chainOf((one) => !isKnown(one) && !one.isDone);
  let inTime = 0;
  let useful = 0;
  for (const ratio of ratios) {
    const chainMs = knownMs + ratio * unknownMs;
    const leftMs = knownLeftMs + ratio * unknownLeftMs;
    const objectiveMs = stretch * chainMs + targetLatencyMs;
    const least = Math.max(1, leftMs);
    inTime += shareUpTo((objectiveMs - ageMs) / least);
    useful += shareUpTo((TOO_LATE_FACTOR * objectiveMs - ageMs) / least);
  }
  return { inTime: inTime / ratios.length, useful: useful / ratios.length };
};

const unfinishedTasks = (
  steps: readonly StepRun[],
  occurrence: number,
): number =>
  steps.reduce(
    (sum, step) =>
      step.occurrence === occurrence && !step.spec.lasting
        ? sum + step.tasks.length - step.doneCount
        : sum,
    0,
  );
