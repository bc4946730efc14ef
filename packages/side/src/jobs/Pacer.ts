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
  type WorkerInstance,
} from "@rackspan/common";
import {
  runKeyOf,
  type RunningTask,
  type RunRef,
  type TaskHost,
} from "@rackspan/ports";
import type { Disturbance, TaskNature } from "@rackspan/protocol";
import { forgetOtherRuns } from "./forgetOtherRuns.js";
import { FULL_PACE, PacePlanner, type PacePlan } from "./PacePlanner.js";

/** Runs that were ordered and may not be listed yet; older ones are forgotten. */
const MAX_UNLISTED = 64;

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
  private readonly unlisted = new Map<string, number>();

  constructor(private readonly options: PacerOptions) {
    this.planner = new PacePlanner(options);
  }

  describe(task: JobTaskId, nature: TaskNature): void {
    this.planner.describe(task, nature);
  }

  /** This process starts the run; the worker begins it at full pace. */
  noteStarted(run: RunRef): void {
    this.unlisted.set(runKeyOf(run), FULL_PACE);
    if (this.unlisted.size <= MAX_UNLISTED) return;
    const [oldest] = this.unlisted.keys();
    if (oldest !== undefined) this.unlisted.delete(oldest);
  }

  /** The worker has begun the run: its first pace is ordered without waiting for a look. */
  paceFirst({ instance, epoch, task, run, firstPercent }: FirstPace): void {
    if (firstPercent >= FULL_PACE) return;
    const key = runKeyOf({ task, run });
    // A look was faster: the pace follows from what it showed.
    if (!this.unlisted.has(key)) return;
    this.unlisted.set(key, firstPercent);
    const { host, logger, metrics } = this.options;
    metrics.count("pace_orders", { way: "first" });
    host
      .pace(instance, { task, run, percent: firstPercent, epoch })
      .catch((err: unknown) => {
        this.given.delete(key);
        metrics.count("pace_orders_failed");
        logger.debug("pace.failed", { task, run, error: describeError(err) });
      });
  }

  /** Takes what the leader knows of the images on this host. */
  learn(disturbances: readonly Disturbance[]): void {
    this.planner.learn(disturbances);
  }

  /** Looks at the readings of one report and orders new paces where needed. */
  adjust(
    instance: WorkerInstance,
    epoch: Epoch,
    running: readonly RunningTask[],
  ): void {
    for (const row of running) this.noteListed(row);
    forgetOtherRuns(this.given, running);
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
      if (first < FULL_PACE) this.planner.beginAt(row, first);
    } else if (!this.given.has(key)) this.planner.noteFound(row);
  }

  private give(
    instance: WorkerInstance,
    epoch: Epoch,
    row: RunningTask,
    percent: number,
  ): void {
    const key = runKeyOf(row);
    const before = this.given.get(key);
    if (before === percent) return;
    this.given.set(key, percent);
    const { host, logger, metrics } = this.options;
    const { task, run } = row;
    metrics.count("pace_orders", { way: wayOf(before, percent) });
    host.pace(instance, { task, run, percent, epoch }).catch((err: unknown) => {
      // Not known now: the next look gives it again.
      this.given.delete(key);
      metrics.count("pace_orders_failed");
      logger.debug("pace.failed", { task, run, error: describeError(err) });
    });
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
  return percent < before ? "down" : "up";
};
