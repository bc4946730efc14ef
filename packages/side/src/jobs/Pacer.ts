/**
 * Orders the worker to slow filling tasks down and to speed them up, as planned
 * from the readings of its reports. The leader need not be asked: readings are
 * half a second old at most.
 */

import {
  describeError,
  type Clock,
  type Epoch,
  type JobTaskId,
  type Logger,
  type Metrics,
  type Monotonic,
  type WorkerInstance,
} from "@rackspan/common";
import {
  runKeyOf,
  type PaceOrder,
  type RunningTask,
  type RunRef,
  type TaskHost,
} from "@rackspan/ports";
import {
  FULL_PACE,
  type InterferenceWeight,
  type InterferenceProfile,
} from "@rackspan/protocol";
import { BoundedMap } from "@rackspan/state";
import { retainListedRuns } from "./retainListedRuns.js";
import { PacePlanner, type PacePlan } from "./PacePlanner.js";

/** Runs that were ordered and may not be listed yet; older ones are forgotten. */
const MAX_UNLISTED = 64;

/**
 * An order without an answer may be carried out this long after it, and then take
 * the place of a newer one; milliseconds: workers speak of seconds.
 */
const OPEN_ORDER_MS = 5_000;

export interface PacerOptions {
  readonly host: TaskHost;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Milliseconds for which a tail may stay over its target on end. */
  readonly tailGraceMs: number;
  /** Share of its target at which a tail is held while filling tasks want more. */
  readonly tailAim: number;
}

/** A run that the worker has begun, and the pace at which it is to begin. */
export type FirstPace = RunRef & {
  readonly instance: WorkerInstance;
  readonly epoch: Epoch;
  /** Percent. */
  readonly firstPercent: number;
};

export class Pacer {
  private readonly planner: PacePlanner;
  /** The pace last given to each run, percent; absent when it is not known. */
  private readonly given = new Map<string, number>();
  /** The first pace of runs that this process ordered and no look has shown yet, percent. */
  private readonly unlisted = new BoundedMap<string, number>(MAX_UNLISTED);
  /** Until when an order for each run that got no answer may be carried out. */
  private readonly openUntil = new Map<string, Monotonic>();

  constructor(private readonly options: PacerOptions) {
    this.planner = new PacePlanner(options);
  }

  describe(task: JobTaskId, nature: InterferenceProfile): void {
    this.planner.describe(task, nature);
  }

  /** This process starts the run; the worker begins it at full pace. */
  recordStarting(run: RunRef): void {
    this.unlisted.set(runKeyOf(run), FULL_PACE);
  }

  /** The worker has begun the run: its first pace is ordered without waiting for a look. */
  orderFirstPace({
    instance,
    epoch,
    task,
    run,
    firstPercent,
  }: FirstPace): void {
    if (firstPercent >= FULL_PACE) return;
    const key = runKeyOf({ task, run });
    // A look was faster: the pace follows from what it showed.
    if (this.unlisted.get(key) === undefined) return;
    this.unlisted.replace(key, firstPercent);
    this.options.metrics.count("pace_orders", { way: "first" });
    this.send(instance, { task, run, percent: firstPercent, epoch });
  }

  /** Takes what the leader knows of the images on this host. */
  updateDisturbances(disturbances: readonly InterferenceWeight[]): void {
    this.planner.updateDisturbances(disturbances);
  }

  /** Looks at the readings of one report and orders new paces where needed. */
  adjust(
    instance: WorkerInstance,
    epoch: Epoch,
    running: readonly RunningTask[],
  ): void {
    this.closeOrders();
    for (const row of running) this.noteListed(row);
    retainListedRuns(this.given, running);
    const plan = this.planner.plan(running, this.options.clock.monotonic());
    for (const [row, pace] of plan.paces) this.give(instance, epoch, row, pace);
    if (plan.slowed.size > 0) this.logSlowed(plan);
  }

  private noteListed(row: RunningTask): void {
    const key = runKeyOf(row);
    const first = this.unlisted.get(key);
    if (first !== undefined) {
      this.unlisted.delete(key);
      this.given.set(key, first);
      if (first < FULL_PACE) this.planner.recordFirstPace(row, first);
    } else if (!this.given.has(key)) this.planner.adoptRun(row);
  }

  private give(
    instance: WorkerInstance,
    epoch: Epoch,
    row: RunningTask,
    percent: number,
  ): void {
    const key = runKeyOf(row);
    const before = this.given.get(key);
    if (before === percent && !this.openUntil.has(key)) return;
    this.given.set(key, percent);
    const { task, run } = row;
    const way = wayOf(before, percent);
    this.options.metrics.count("pace_orders", { way });
    this.send(instance, { task, run, percent, epoch });
  }

  /**
   * Orders a pace. One that gets no answer leaves it open which pace is in force,
   * so until it cannot be carried out any more each look orders the pace again.
   */
  private send(instance: WorkerInstance, order: PaceOrder): void {
    const { host, clock, logger, metrics } = this.options;
    const { task, run } = order;
    const key = runKeyOf(order);
    host.pace(instance, order).catch((err: unknown) => {
      this.given.delete(key);
      this.openUntil.set(key, clock.monotonic() + OPEN_ORDER_MS);
      metrics.count("pace_orders_failed");
      logger.debug("pace.failed", { task, run, error: describeError(err) });
    });
  }

  /** Drops orders that cannot be carried out any more. */
  private closeOrders(): void {
    const now = this.options.clock.monotonic();
    for (const [key, until] of this.openUntil) {
      if (now >= until) this.openUntil.delete(key);
    }
  }

  private logSlowed({ serving, paces, slowed }: PacePlan): void {
    const worst = serving.reduce((a, b) => (b.tail > a.tail ? b : a));
    this.options.logger.info("pace.slowed", {
      image: worst.image,
      tail: worst.tail.toFixed(2),
      slowed: slowed.size,
      filling: paces.size,
    });
  }
}

/** Where the pace goes from the one given before, for the metrics. */
const wayOf = (before: number | undefined, percent: number): string => {
  if (before === undefined) return "found";
  if (before === percent) return "again";
  return percent < before ? "down" : "up";
};
