/**
 * Orders bulk work (steps of filling tasks) so that most of what has started still ends
 * in time. All other work is ordered as by ByUtilityOrder. Per priority, one of three
 * rules applies, depending on the backlog at the measured rate:
 *
 * - every job can still be in time: the job with the least slack goes first;
 * - otherwise: the most expected utility per core-millisecond of unplaced work;
 * - the backlog takes longer than an objective: the same, but started jobs that can
 *   still end in time precede all others.
 */

import type { Instant } from "@rackspan/common";
import type { JobRun } from "@rackspan/jobs";
import { MIN_WORK } from "@rackspan/routing";
import type { CompletionRate } from "./CompletionRate.js";
import type { RuntimeEstimator } from "./RuntimeEstimator.js";
import { ByUtilityOrder, REMAINING_UTILITY } from "./byUtilityOrder.js";
import { forecastCompletion } from "./completionForecast.js";
import { DeadlineFeasibility } from "./deadlineFeasibility.js";
import {
  slackMsOf,
  startDemandsOf,
  fitsRate,
  objectiveMsOf,
} from "./startDemands.js";
import {
  sortByKeys,
  stepOrders,
  type BulkBacklog,
  type Candidate,
  type StepOrder,
  type StepOrderOptions,
} from "./stepOrders.js";

const COMPLETION = {
  /**
   * Share of the measured rate that the backlog may need for the order by slack. In the
   * load test that order earns 0.966 of the utility at load 1 with a share of 1, 0.977
   * with 0.5; at load 1.25 0.753 and 0.812, since it delays all jobs until the last
   * moment while estimates are off.
   */
  plannedShare: 0.5,
  /**
   * Tasks that have to start within this time count as if they had it, milliseconds:
   * they may use what is free now, and one scheduling cycle does not decide.
   */
  graceMs: 300,
  /** A started job is preferred while it is expected to earn this share of its utility. */
  minExpectedShare: 0.3,
} as const;

interface RatedCandidate {
  readonly candidate: Candidate;
  /** Share of the job's utility that it is expected to earn. */
  readonly expectedShare: number;
  /** Expected utility per core-millisecond of unplaced work. */
  readonly density: number;
}

type WaitingWork = Pick<BulkBacklog, "waitingJobs" | "work" | "rule">;

const NO_BACKLOG: WaitingWork = { waitingJobs: [], work: 0, rule: "utility" };

export class ByCompletionOrder implements StepOrder {
  private readonly estimates: RuntimeEstimator;
  private readonly completionRate: CompletionRate | undefined;
  private readonly byUtility: ByUtilityOrder;
  /**
   * Bulk jobs that were candidates and have not ended. Those that are none now have all
   * tasks of a step placed, but need the rate for their next steps.
   */
  private readonly unended = new Set<JobRun>();
  /** What waited in the last scheduling cycle, by priority. */
  private readonly backlogs = new Map<number, WaitingWork>();

  constructor(options: StepOrderOptions) {
    this.estimates = options.estimates;
    this.completionRate = options.completionRate;
    this.byUtility = new ByUtilityOrder(options);
    this.estimates.persistDistributions();
  }

  bulkBacklogs(): readonly BulkBacklog[] {
    const begunJobs = new Map<number, number>();
    for (const { terms, begun, isEnded } of this.unended) {
      if (!begun || isEnded) continue;
      const { priority } = terms;
      begunJobs.set(priority, (begunJobs.get(priority) ?? 0) + 1);
    }
    const priorities = new Set([...begunJobs.keys(), ...this.backlogs.keys()]);
    return [...priorities].map((priority) => ({
      priority,
      begunJobs: begunJobs.get(priority) ?? 0,
      rate: this.completionRate?.of(priority),
      ...(this.backlogs.get(priority) ?? NO_BACKLOG),
    }));
  }

  sort(candidates: readonly Candidate[], now: Instant): readonly Candidate[] {
    const sorted = this.byUtility.sort(candidates, now);
    const groups = new Map<number, Candidate[]>();
    for (const candidate of sorted) {
      if (!isBulk(candidate)) continue;
      this.unended.add(candidate.job);
      const { priority } = candidate.job.terms;
      const group = groups.get(priority);
      if (group) group.push(candidate);
      else groups.set(priority, [candidate]);
    }
    for (const job of this.unended) {
      if (job.isEnded) this.unended.delete(job);
    }
    this.backlogs.clear();
    const bulk = new Map(
      [...groups].map(([priority, group]) => [
        priority,
        this.sortBulk(group, priority, now).values(),
      ]),
    );
    // Bulk steps take the positions of bulk steps, so that other work stays in order.
    return sorted.map((candidate) =>
      isBulk(candidate)
        ? (bulk.get(candidate.job.terms.priority)?.next().value ?? candidate)
        : candidate,
    );
  }

  private sortBulk(
    group: readonly Candidate[],
    priority: number,
    now: Instant,
  ): readonly Candidate[] {
    const rate = this.completionRate?.of(priority);
    const work = this.unplacedWork(group);
    const rule = this.ruleFor(group, priority, rate, work, now);
    const sorted =
      rule === "slack"
        ? this.sortBySlack(group, now)
        : this.sortByUtility(group, rule === "started-first", now);
    const waiting = sorted.filter(
      ({ step }) => step.waiting.size === step.tasks.length,
    );
    const waitingJobs = [...new Set(waiting.map(({ job }) => job.id))];
    this.backlogs.set(priority, { waitingJobs, work, rule });
    return sorted;
  }

  private ruleFor(
    group: readonly Candidate[],
    priority: number,
    rate: number | undefined,
    work: number,
    now: Instant,
  ): BulkBacklog["rule"] {
    if (rate === undefined) return "utility";
    if (this.canAllBeInTime(group, priority, rate, now)) return "slack";
    // No job that begins now can expect to end in time once all others have.
    const isDeep = work / rate > this.meanObjectiveMs(group);
    return isDeep ? "started-first" : "utility";
  }

  private sortBySlack(
    group: readonly Candidate[],
    now: Instant,
  ): readonly Candidate[] {
    const slacks = new Map(
      group.map((one) => [one, slackMsOf(one, this.estimates, now)]),
    );
    return sortByKeys(group, (one) => [slacks.get(one) ?? 0]);
  }

  private sortByUtility(
    group: readonly Candidate[],
    prefersStarted: boolean,
    now: Instant,
  ): readonly Candidate[] {
    const rated = new Map(group.map((one) => [one, this.rate(one, now)]));
    return sortByKeys(group, (one) => {
      const { expectedShare = 0, density = 0 } = rated.get(one) ?? {};
      const isPreferred =
        prefersStarted &&
        one.job.begun &&
        expectedShare >= COMPLETION.minExpectedShare;
      return [expectedShare > 0 ? 0 : 1, isPreferred ? 0 : 1, -density];
    });
  }

  /** Whether the planned share of the rate suffices for all unfinished bulk jobs. */
  private canAllBeInTime(
    group: readonly Candidate[],
    priority: number,
    rate: number,
    now: Instant,
  ): boolean {
    const isLate = (one: Candidate): boolean =>
      slackMsOf(one, this.estimates, now) < 0;
    if (group.some(isLate)) return false;
    const demands = [...this.unended]
      .filter(({ terms }) => terms.priority === priority)
      .flatMap((job) => startDemandsOf(job, this.estimates, now));
    const { plannedShare, graceMs } = COMPLETION;
    return fitsRate(demands, plannedShare * rate, graceMs);
  }

  private meanObjectiveMs(group: readonly Candidate[]): number {
    let total = 0;
    for (const { job, step } of group)
      total += objectiveMsOf(job, step.occurrence, this.estimates);
    return total / group.length;
  }

  private unplacedWork(group: readonly Candidate[]): number {
    let total = 0;
    for (const { job } of group) total += this.estimates.unplacedWork(job);
    return total;
  }

  private rate(candidate: Candidate, now: Instant): RatedCandidate {
    const { job } = candidate;
    const { inTime, useful } = forecastCompletion(
      candidate,
      this.estimates,
      now,
    );
    const late = REMAINING_UTILITY[DeadlineFeasibility.Late];
    const expectedShare = inTime + late * (useful - inTime);
    const work = Math.max(MIN_WORK, this.estimates.unplacedWork(job));
    const density = (expectedShare * this.byUtility.utilityOf(job)) / work;
    return { candidate, expectedShare, density };
  }
}

const isBulk = ({ step }: Candidate): boolean =>
  step.spec.filling && !step.spec.lasting;

stepOrders.register({
  name: "byCompletion",
  create: (options) => new ByCompletionOrder(options),
});
