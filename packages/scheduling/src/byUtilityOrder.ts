/**
 * Sorts by priority, then by the job's remaining utility per core-second of its
 * unplaced work. So a step with many tasks is finished once it has started, and a large
 * job does not wait behind all small ones until it is too late to be of use.
 *
 * Meant for bulk work that exceeds the capacity of a site.
 */

import type { Instant } from "@rackspan/common";
import type { JobRun } from "@rackspan/jobs";
import { LATE_UTILITY, MIN_WORK, utilityOf } from "@rackspan/routing";
import type { QueueKey } from "@rackspan/state";
import type { RuntimeEstimator } from "./RuntimeEstimator.js";
import {
  DeadlineFeasibility,
  deadlineFeasibilityOf,
} from "./deadlineFeasibility.js";
import {
  sortByKeys,
  stepOrders,
  type Candidate,
  type StepOrder,
  type StepOrderOptions,
} from "./stepOrders.js";

/**
 * Share of the utility that is left by deadline feasibility, where 1 is an end in time.
 */
export const REMAINING_UTILITY: Readonly<Record<DeadlineFeasibility, number>> =
  {
    [DeadlineFeasibility.InTime]: 1,
    [DeadlineFeasibility.Late]: LATE_UTILITY,
    [DeadlineFeasibility.TooLate]: 0,
  };

/** Mean work of the jobs of one queue that this leader has seen. */
interface MeanWork {
  jobs: number;
  total: number;
}

export class ByUtilityOrder implements StepOrder {
  private readonly estimates: RuntimeEstimator;
  private readonly means = new Map<QueueKey, MeanWork>();
  private readonly seen = new WeakSet<JobRun>();

  constructor({ estimates }: StepOrderOptions) {
    this.estimates = estimates;
  }

  sort(candidates: readonly Candidate[], now: Instant): readonly Candidate[] {
    const density = new Map<JobRun, number>();
    for (const { job } of candidates) this.recordWork(job);
    for (const { job } of candidates) {
      if (!density.has(job)) density.set(job, this.densityOf(job));
    }
    return sortByKeys(candidates, (candidate) => [
      candidate.job.terms.priority,
      candidate.step.spec.lasting ? 0 : 1,
      -this.remainingUtility(candidate, now) *
        (density.get(candidate.job) ?? 0),
      -(density.get(candidate.job) ?? 0),
      candidate.step.number,
    ]);
  }

  private remainingUtility(candidate: Candidate, now: Instant): number {
    return REMAINING_UTILITY[
      deadlineFeasibilityOf(candidate, this.estimates, now)
    ];
  }

  private recordWork(job: JobRun): void {
    if (this.seen.has(job)) return;
    this.seen.add(job);
    const { queue } = job.accepted.spec;
    const mean = this.means.get(queue) ?? { jobs: 0, total: 0 };
    mean.jobs += 1;
    mean.total += this.estimates.totalWork(job);
    this.means.set(queue, mean);
  }

  /** Returns the utility per core-millisecond of unplaced work. */
  private densityOf(job: JobRun): number {
    const mean = this.means.get(job.accepted.spec.queue);
    const meanWork = mean ? mean.total / mean.jobs : 0;
    const utility = utilityOf(this.estimates.totalWork(job), meanWork);
    return utility / Math.max(MIN_WORK, this.estimates.unplacedWork(job));
  }
}

stepOrders.register({
  name: "byWorth",
  create: (options) => new ByUtilityOrder(options),
});
