/**
 * Sorts by priority, then by deadline feasibility: jobs that can meet their objective
 * first, then those that would be late, then those that would end too late to be of
 * use. Among equals the job with the least remaining work goes first, since a small job
 * has more utility per core-second than a large one.
 */

import type { Instant } from "@rackspan/common";
import type { JobRun } from "@rackspan/jobs";
import type { RuntimeEstimator } from "./RuntimeEstimator.js";
import { deadlineFeasibilityOf } from "./deadlineFeasibility.js";
import {
  sortByKeys,
  stepOrders,
  type Candidate,
  type StepOrder,
  type StepOrderOptions,
} from "./stepOrders.js";

export class BySlackOrder implements StepOrder {
  private readonly estimates: RuntimeEstimator;

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
      deadlineFeasibilityOf(candidate, this.estimates, now),
      work.get(candidate.job) ?? 0,
      candidate.step.number,
    ]);
  }
}

stepOrders.register({
  name: "bySlack",
  create: (options) => new BySlackOrder(options),
});
