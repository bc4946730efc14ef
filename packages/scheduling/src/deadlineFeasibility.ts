/** What a job can still earn its callers, by the time that it needs at the least. */

import type { Instant } from "@rackspan/common";
import type { RuntimeEstimator } from "./RuntimeEstimator.js";
import type { Candidate } from "./stepOrders.js";

/** A job that ends later than this many times its objective earns nothing. */
const WORTHLESS_AFTER = 3;

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
  return endsAfterMs <= WORTHLESS_AFTER * objectiveMs
    ? DeadlineFeasibility.Late
    : DeadlineFeasibility.TooLate;
};
