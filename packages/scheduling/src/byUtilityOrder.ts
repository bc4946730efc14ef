/**
 * Sorts by priority, then by the job's remaining utility per core-second of its
 * unplaced work. So a step with many tasks is finished once it has started, and a large
 * job does not wait behind all small ones until it is too late to be of use. Jobs that
 * SizeClassShares chooses go before the others of their priority.
 *
 * Meant for bulk work that exceeds the capacity of a site.
 */

import { groupBy, type Instant } from "@rackspan/common";
import type { JobRun } from "@rackspan/jobs";
import { LATE_UTILITY, MIN_WORK, utilityOf } from "@rackspan/routing";
import type { QueueKey } from "@rackspan/state";
import type { RuntimeEstimator } from "./RuntimeEstimator.js";
import {
  DeadlineFeasibility,
  deadlineFeasibilityOf,
} from "./deadlineFeasibility.js";
import { SizeClassShares } from "./SizeClassShares.js";
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
  /** Sum of their estimated work, core-milliseconds. */
  total: number;
  /** Sum of what their tasks request, thousandths of a core. */
  milliCores: number;
}

/** Sum of what the tasks of the job request, without lasting ones. */
const requestedMilliCores = ({ steps }: JobRun): number =>
  steps.reduce(
    (sum, { tasks, spec }) =>
      sum + (spec.lasting ? 0 : tasks.length * spec.demand.milliCores),
    0,
  );

const isFirstStepPlaced = ({ steps }: JobRun): boolean =>
  steps.every(
    ({ spec, waiting }) => spec.after.length > 0 || waiting.size === 0,
  );

export class ByUtilityOrder implements StepOrder {
  private readonly estimates: RuntimeEstimator;
  private readonly means = new Map<QueueKey, MeanWork>();
  private readonly seen = new WeakSet<JobRun>();
  /** By priority. */
  private readonly shares = new Map<number, SizeClassShares>();
  /** Jobs whose first steps are not all placed and that may still be in time. */
  private readonly unstarted = new Set<JobRun>();

  constructor({ estimates }: StepOrderOptions) {
    this.estimates = estimates;
  }

  sort(candidates: readonly Candidate[], now: Instant): readonly Candidate[] {
    const density = new Map<JobRun, number>();
    for (const { job } of candidates) this.recordWork(job);
    for (const { job } of candidates) {
      if (!density.has(job)) density.set(job, this.densityOf(job));
    }
    this.updateShares(candidates, now);
    return sortByKeys(candidates, (candidate) => [
      candidate.job.terms.priority,
      candidate.step.spec.lasting ? 0 : 1,
      this.goesFirst(candidate, now) ? 0 : 1,
      -this.remainingUtility(candidate, now) *
        (density.get(candidate.job) ?? 0),
      -(density.get(candidate.job) ?? 0),
      candidate.step.number,
    ]);
  }

  /** Whether the job was chosen for its size class and can still be of use. */
  private goesFirst(candidate: Candidate, now: Instant): boolean {
    const { job } = candidate;
    if (!this.sharesOf(job).isChosen(job)) return false;
    return this.remainingUtility(candidate, now) > 0;
  }

  /** Records which jobs were started or passed over, and chooses further ones. */
  private updateShares(candidates: readonly Candidate[], now: Instant): void {
    const inTime: JobRun[] = [];
    const waiting = new Set<JobRun>();
    for (const candidate of candidates) {
      const { job } = candidate;
      if (!this.unstarted.has(job) || waiting.has(job)) continue;
      waiting.add(job);
      if (this.remainingUtility(candidate, now) === 1) inTime.push(job);
      else this.recordOutcome(job, false);
    }
    for (const job of this.unstarted) {
      if (job.isEnded) this.unstarted.delete(job);
      else if (job.wasPlaced && isFirstStepPlaced(job))
        this.recordOutcome(job, true);
    }
    const byPriority = groupBy(inTime, (job) => this.sharesOf(job));
    for (const [shares, jobs] of byPriority) shares.choose(jobs);
  }

  private recordOutcome(job: JobRun, isStarted: boolean): void {
    this.unstarted.delete(job);
    this.sharesOf(job).recordOutcome(job, isStarted);
  }

  private sharesOf({ terms: { priority } }: JobRun): SizeClassShares {
    let shares = this.shares.get(priority);
    if (!shares) {
      shares = new SizeClassShares();
      this.shares.set(priority, shares);
    }
    return shares;
  }

  /**
   * Returns the processors that the tasks of the job request, relative to the mean of its
   * queue. Callers' estimates of run times are off by more than run times differ.
   */
  private sizeOf(job: JobRun): number {
    const mean = this.means.get(job.accepted.spec.queue);
    if (!mean) return 1;
    const meanMilliCores = Math.max(1, mean.milliCores / mean.jobs);
    return requestedMilliCores(job) / meanMilliCores;
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
    const mean = this.means.get(queue) ?? { jobs: 0, total: 0, milliCores: 0 };
    const milliCores = requestedMilliCores(job);
    mean.jobs += 1;
    mean.total += this.estimates.totalWork(job);
    mean.milliCores += milliCores;
    this.means.set(queue, mean);
    // Lasting jobs are never passed over, and restored ones were started before.
    if (job.wasPlaced || milliCores === 0) return;
    this.unstarted.add(job);
    this.sharesOf(job).recordArrival(job, this.sizeOf(job));
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
