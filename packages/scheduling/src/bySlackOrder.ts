/**
 * By priority, then by what can still be earned: jobs that can meet their
 * objective first, then those that would be late, then those for which any end
 * is too late. Among equals the job with the least work left goes first, since
 * a small job is worth more for each core-second than a large one.
 */

import type { Instant } from "@rackspan/common";
import type { JobRun } from "@rackspan/jobs";
import type { EstimateBook } from "./EstimateBook.js";
import {
  sortByKeys,
  stepOrders,
  type Candidate,
  type StepOrder,
  type StepOrderOptions,
} from "./stepOrders.js";

/** A job that ends later than this many times its objective earns nothing. */
const WORTHLESS_AFTER = 3;

const enum Hope {
  InTime = 0,
  Late = 1,
  Lost = 2,
}

export class BySlackOrder implements StepOrder {
  private readonly estimates: EstimateBook;

  constructor({ estimates }: StepOrderOptions) {
    this.estimates = estimates;
  }

  sort(candidates: readonly Candidate[], now: Instant): readonly Candidate[] {
    const work = new Map<JobRun, number>();
    for (const { job } of candidates) {
      if (!work.has(job)) work.set(job, this.estimates.remainingWork(job));
    }
    return sortByKeys(candidates, (candidate) => [
      candidate.job.terms.priority,
      candidate.step.spec.lasting ? 0 : 1,
      this.hopeOf(candidate, now),
      work.get(candidate.job) ?? 0,
      candidate.step.number,
    ]);
  }

  private hopeOf({ job, step }: Candidate, now: Instant): Hope {
    if (step.spec.lasting) return Hope.InTime;
    const { stretch, targetLatencyMs } = job.terms;
    const chainMs = this.estimates.chainMs(job, step.occurrence);
    const objectiveMs = stretch * chainMs + targetLatencyMs;
    const leftMs = this.estimates.remainingChainMs(job, step.occurrence);
    const endsAfterMs = now + leftMs - job.dueAt(step.occurrence);
    if (endsAfterMs <= objectiveMs) return Hope.InTime;
    return endsAfterMs <= WORTHLESS_AFTER * objectiveMs ? Hope.Late : Hope.Lost;
  }
}

stepOrders.register({
  name: "bySlack",
  create: (options) => new BySlackOrder(options),
});
