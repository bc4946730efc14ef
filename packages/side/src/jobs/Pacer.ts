/**
 * Orders the worker to slow down or speed up filling tasks, as planned from the readings in
 * its poll responses. Decides on the side, without the leader, so that readings are half a
 * second old at most.
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

/** Limit of ordered runs that may not be listed yet; older ones are dropped. */
const MAX_UNLISTED = 64;

/**
 * A worker may carry out an unanswered order up to this long after it was sent, and then
 * override a newer one, milliseconds. The worker's interface only states "seconds".
 */
const MAX_ORDER_DELAY_MS = 5_000;

export interface PacerOptions {
  readonly host: TaskHost;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Longest time that a tail may stay over its target without a break, milliseconds. */
  readonly tailGraceMs: number;
  /** Share of its target at which a tail is held while filling tasks could use more. */
  readonly tailAim: number;
}

/** A run that the worker has started, and the first pace that it should have. */
export type FirstPace = RunRef & {
  readonly instance: WorkerInstance;
  readonly epoch: Epoch;
  /** Percent. */
  readonly firstPercent: number;
};

export class Pacer {
  private readonly planner: PacePlanner;
  /** The pace last ordered for each run, percent; absent when the pace in force is unknown. */
  private readonly orderedPaces = new Map<string, number>();
  /** First pace of runs that this process ordered and that no poll has listed yet, percent. */
  private readonly unlisted = new BoundedMap<string, number>(MAX_UNLISTED);
  /** Until when an unanswered order may still be carried out, by run. */
  private readonly uncertainUntil = new Map<string, Monotonic>();

  constructor(private readonly options: PacerOptions) {
    this.planner = new PacePlanner(options);
  }

  describe(task: JobTaskId, profile: InterferenceProfile): void {
    this.planner.describe(task, profile);
  }

  /** Records that this process starts the run; the worker starts it at full pace. */
  recordStarting(run: RunRef): void {
    this.unlisted.set(runKeyOf(run), FULL_PACE);
  }

  /** Orders the first pace of a run that the worker has started, without waiting for a poll. */
  orderFirstPace({
    instance,
    epoch,
    task,
    run,
    firstPercent,
  }: FirstPace): void {
    if (firstPercent >= FULL_PACE) return;
    const key = runKeyOf({ task, run });
    // A poll has listed the run already, so its pace follows from the readings.
    if (this.unlisted.get(key) === undefined) return;
    this.unlisted.replace(key, firstPercent);
    this.options.metrics.count("pace_orders", { way: "first" });
    this.send(instance, { task, run, percent: firstPercent, epoch });
  }

  /** Replaces the interference weights by those that the leader sent for the images on this host. */
  updateDisturbances(disturbances: readonly InterferenceWeight[]): void {
    this.planner.updateDisturbances(disturbances);
  }

  /** Evaluates the readings of one poll and orders new paces where needed. */
  adjust(
    instance: WorkerInstance,
    epoch: Epoch,
    running: readonly RunningTask[],
  ): void {
    this.dropExpiredOrders();
    for (const row of running) this.recordListed(row);
    retainListedRuns(this.orderedPaces, running);
    const plan = this.planner.plan(running, this.options.clock.monotonic());
    for (const [row, pace] of plan.paces)
      this.orderIfChanged(instance, epoch, row, pace);
    if (plan.slowed.size > 0) this.logSlowed(plan);
  }

  private recordListed(row: RunningTask): void {
    const key = runKeyOf(row);
    const first = this.unlisted.get(key);
    if (first !== undefined) {
      this.unlisted.delete(key);
      this.orderedPaces.set(key, first);
      if (first < FULL_PACE) this.planner.recordFirstPace(row, first);
    } else if (!this.orderedPaces.has(key)) this.planner.adoptRun(row);
  }

  private orderIfChanged(
    instance: WorkerInstance,
    epoch: Epoch,
    row: RunningTask,
    percent: number,
  ): void {
    const key = runKeyOf(row);
    const before = this.orderedPaces.get(key);
    if (before === percent && !this.uncertainUntil.has(key)) return;
    this.orderedPaces.set(key, percent);
    const { task, run } = row;
    const way = directionOf(before, percent);
    this.options.metrics.count("pace_orders", { way });
    this.send(instance, { task, run, percent, epoch });
  }

  /**
   * Orders a pace. After an order without an answer it is unknown which pace is in force, so
   * each poll orders the pace again until the order can no longer be carried out.
   */
  private send(instance: WorkerInstance, order: PaceOrder): void {
    const { host, clock, logger, metrics } = this.options;
    const { task, run } = order;
    const key = runKeyOf(order);
    host.pace(instance, order).catch((err: unknown) => {
      this.orderedPaces.delete(key);
      this.uncertainUntil.set(key, clock.monotonic() + MAX_ORDER_DELAY_MS);
      metrics.count("pace_orders_failed");
      logger.debug("pace.failed", { task, run, error: describeError(err) });
    });
  }

  /** Drops unanswered orders that can no longer be carried out. */
  private dropExpiredOrders(): void {
    const now = this.options.clock.monotonic();
    for (const [key, until] of this.uncertainUntil) {
      if (now >= until) this.uncertainUntil.delete(key);
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

/** Direction of the change from the pace ordered before, for the metrics. */
const directionOf = (before: number | undefined, percent: number): string => {
  if (before === undefined) return "found";
  if (before === percent) return "again";
  return percent < before ? "down" : "up";
};
