/** Until when the waiting tasks of jobs have to start, and whether a rate suffices. */

import type { Instant } from "@rackspan/common";
import type { JobRun } from "@rackspan/jobs";
import type { RuntimeEstimator } from "./RuntimeEstimator.js";
import type { Candidate } from "./stepOrders.js";

/** Work that has to be placed within a time for its job to end in time. */
export interface StartDemand {
  readonly withinMs: number;
  /** Core-milliseconds. */
  readonly work: number;
}

/** Returns the time from acceptance in which the job has to end, milliseconds. */
export const objectiveMsOf = (
  job: JobRun,
  occurrence: number,
  estimates: RuntimeEstimator,
): number =>
  job.terms.stretch * estimates.chainMs(job, occurrence) +
  job.terms.targetLatencyMs;

/** Returns for how long the step may still wait, milliseconds; negative if it is late. */
export const slackMsOf = (
  { job, step: { occurrence } }: Candidate,
  estimates: RuntimeEstimator,
  now: Instant,
): number =>
  objectiveMsOf(job, occurrence, estimates) -
  estimates.remainingChainMs(job, occurrence) -
  (now - job.dueAt(occurrence));

/**
 * Returns the demands of the job's steps that wait or are locked. Steps are taken as one
 * chain in their order, which is exact for chains and early for others.
 */
export const startDemandsOf = (
  job: JobRun,
  estimates: RuntimeEstimator,
  now: Instant,
): StartDemand[] => {
  const demands: StartDemand[] = [];
  const leftByOccurrence = new Map<number, number>();
  for (const step of [...job.steps].reverse()) {
    if (step.isDone || step.spec.lasting) continue;
    const { occurrence, waiting } = step;
    const left =
      leftByOccurrence.get(occurrence) ??
      objectiveMsOf(job, occurrence, estimates) - (now - job.dueAt(occurrence));
    const withinMs = left - estimates.taskMs(step);
    leftByOccurrence.set(occurrence, withinMs);
    if (waiting.size === 0) continue;
    demands.push({ withinMs, work: waiting.size * estimates.taskWork(step) });
  }
  return demands;
};

/**
 * Whether all demands are met in the order of their times if work is done at the rate.
 *
 * @param rate core-milliseconds per millisecond
 * @param graceMs added to all times, milliseconds
 */
export const fitsRate = (
  demands: readonly StartDemand[],
  rate: number,
  graceMs: number,
): boolean => {
  let total = 0;
  for (const { withinMs, work } of [...demands].sort(
    (a, b) => a.withinMs - b.withinMs,
  )) {
    total += work;
    if (total > rate * Math.max(0, withinMs + graceMs)) return false;
  }
  return true;
};
