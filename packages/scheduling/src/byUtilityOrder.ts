/**
 * By priority, then by what a job can still be worth to its callers for each
 * core-second of it that has no place yet. A step of many tasks is thus finished once
 * it has begun, and a large job does not wait behind all small ones until it is late
 * and its work of no use to anybody.
 *
 * Answers bulk work past what a site can do.
 */

import type { Instant } from "@rackspan/common";
import type { JobRun } from "@rackspan/jobs";
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

/** What a job is worth, in jobs of its queue that have the mean work (users' pages, "Credit"). */
const WORTH = {
  /** Whatever its work. */
  fixed: 0.3,
  /** For work like the mean, and in proportion to it. */
  byWork: 0.7,
  most: 4,
} as const;

/** Worth of an end by when it can be, where 1 is an end in time. */
const WORTH_OF_HOPE: Readonly<Record<DeadlineFeasibility, number>> = {
  [DeadlineFeasibility.InTime]: 1,
  [DeadlineFeasibility.Late]: 0.15,
  [DeadlineFeasibility.TooLate]: 0,
};

/** Estimates of nothing are taken as this much, core-milliseconds. */
const LEAST_WORK = 1;

/** Mean work of the jobs of one queue, as far as this leader has seen them. */
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
    for (const { job } of candidates) this.noteWork(job);
    for (const { job } of candidates) {
      if (!density.has(job)) density.set(job, this.densityOf(job));
    }
    return sortByKeys(candidates, (candidate) => [
      candidate.job.terms.priority,
      candidate.step.spec.lasting ? 0 : 1,
      -this.hopeWorth(candidate, now) * (density.get(candidate.job) ?? 0),
      -(density.get(candidate.job) ?? 0),
      candidate.step.number,
    ]);
  }

  private hopeWorth(candidate: Candidate, now: Instant): number {
    return WORTH_OF_HOPE[deadlineFeasibilityOf(candidate, this.estimates, now)];
  }

  private noteWork(job: JobRun): void {
    if (this.seen.has(job)) return;
    this.seen.add(job);
    const { queue } = job.accepted.spec;
    const mean = this.means.get(queue) ?? { jobs: 0, total: 0 };
    mean.jobs += 1;
    mean.total += this.estimates.totalWork(job);
    this.means.set(queue, mean);
  }

  /** Worth for each core-millisecond that has no place yet. */
  private densityOf(job: JobRun): number {
    const { fixed, byWork, most } = WORTH;
    const mean = this.means.get(job.accepted.spec.queue);
    const meanWork = Math.max(LEAST_WORK, mean ? mean.total / mean.jobs : 0);
    const size = this.estimates.totalWork(job) / meanWork;
    const worth = Math.min(most, fixed + byWork * size);
    return worth / Math.max(LEAST_WORK, this.estimates.unplacedWork(job));
  }
}

stepOrders.register({
  name: "byWorth",
  create: (options) => new ByUtilityOrder(options),
});
