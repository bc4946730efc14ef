/**
 * Classifies whether a job can still end within its objective, given the least time
 * that it still needs.
 */

import type { Instant } from "@rackspan/common";
import type { RuntimeEstimator } from "./RuntimeEstimator.js";
import type { Candidate } from "./stepOrders.js";

/**
 * A job that ends later than this many times its objective has no utility to its
 * caller.
 */
export const TOO_LATE_FACTOR = 3;

/** Lower is better. */
export const enum DeadlineFeasibility {
  InTime = 0,
  Late = 1,
  TooLate = 2,
}

export const deadlineFeasibilityOf = (
  { job, step }: Candidate,
  estimates: RuntimeEstimator,
  now: Instant,
): DeadlineFeasibility => {
  if (step.spec.lasting) return DeadlineFeasibility.InTime;
  const { stretch, targetLatencyMs } = job.terms;
  const chainMs = estimates.chainMs(job, step.occurrence);
  const objectiveMs = stretch * chainMs + targetLatencyMs;
  const leftMs = estimates.remainingChainMs(job, step.occurrence);
  const endsAfterMs = now + leftMs - job.dueAt(step.occurrence);
  if (endsAfterMs <= objectiveMs) return DeadlineFeasibility.InTime;
  return endsAfterMs <= TOO_LATE_FACTOR * objectiveMs
    ? DeadlineFeasibility.Late
    : DeadlineFeasibility.TooLate;
};
