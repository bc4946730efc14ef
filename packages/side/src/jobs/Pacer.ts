/**
 * Slows filling tasks of this host down while a serving task beside them nears
 * its tail target, and speeds them up again while there is slack. The leader
 * need not be asked: readings are half a second old at most.
 */

import {
  describeError,
  type Epoch,
  type JobTaskId,
  type Logger,
  type Metrics,
  type WorkerInstance,
} from "@rackspan/common";
import type { RunningTask, TaskHost } from "@rackspan/ports";
import type { TaskNature } from "@rackspan/protocol";

export const PACING = {
  /** Share of its target at which a tail slows filling tasks down. */
  slowAbove: 0.9,
  /** Share of its target below which they may speed up. */
  speedBelow: 0.75,
  /** They go on at this share of their pace. */
  slowFactor: 0.6,
  /** Points of percent by which they speed up at a time. */
  speedPoints: 8,
  /** Their least pace, percent: some progress tells them from hung tasks. */
  leastPercent: 4,
  /** Time between two adjustments, milliseconds; a reading spans 500. */
  everyMs: 250,
} as const;

const FULL_PACE = 100;

export interface PacerOptions {
  readonly host: TaskHost;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

export class Pacer {
  private readonly natures = new Map<JobTaskId, TaskNature>();
  /** The pace that all filling tasks of the host should have, percent. */
  private wanted = FULL_PACE;
  /** The pace last given to each run. */
  private readonly given = new Map<string, number>();

  constructor(private readonly options: PacerOptions) {}

  describe(task: JobTaskId, nature: TaskNature): void {
    this.natures.set(task, nature);
  }

  /** Looks at the readings of one report and orders new paces where needed. */
  adjust(
    instance: WorkerInstance,
    epoch: Epoch,
    running: readonly RunningTask[],
  ): void {
    this.forgetEnded(running);
    const filling = running.filter(
      ({ task }) => this.natures.get(task)?.kind === "filling",
    );
    this.wanted = this.nextPace(this.worstTail(running), filling.length > 0);
    for (const row of filling) this.give(instance, epoch, row);
  }

  /** The highest tail, as a share of its target; 0 when nothing serves. */
  private worstTail(running: readonly RunningTask[]): number {
    let worst = 0;
    for (const { task, reading } of running) {
      const nature = this.natures.get(task);
      if (nature?.kind !== "serving" || nature.tailTargetMs <= 0) continue;
      worst = Math.max(worst, reading / nature.tailTargetMs);
    }
    return worst;
  }

  private nextPace(worst: number, hasFilling: boolean): number {
    if (!hasFilling) return FULL_PACE;
    if (worst > PACING.slowAbove) {
      const slower = Math.round(this.wanted * PACING.slowFactor);
      return Math.max(PACING.leastPercent, slower);
    }
    if (worst >= PACING.speedBelow) return this.wanted;
    return Math.min(FULL_PACE, this.wanted + PACING.speedPoints);
  }

  private give(
    instance: WorkerInstance,
    epoch: Epoch,
    { task, run }: RunningTask,
  ): void {
    const key = `${task}#${run}`;
    const before = this.given.get(key) ?? FULL_PACE;
    const percent = this.wanted;
    if (before === percent) return;
    this.given.set(key, percent);
    const { host, logger, metrics } = this.options;
    metrics.count("pace_orders", { way: percent < before ? "down" : "up" });
    host.pace(instance, { task, run, percent, epoch }).catch((err: unknown) => {
      // Unknown now: the next look gives it again.
      this.given.delete(key);
      logger.debug("pace.failed", { task, run, error: describeError(err) });
    });
  }

  private forgetEnded(running: readonly RunningTask[]): void {
    const keys = new Set(running.map(({ task, run }) => `${task}#${run}`));
    for (const key of this.given.keys()) {
      if (!keys.has(key)) this.given.delete(key);
    }
    const tasks = new Set(running.map(({ task }) => task));
    if (this.natures.size <= 2 * tasks.size + 64) return;
    for (const task of this.natures.keys()) {
      if (!tasks.has(task)) this.natures.delete(task);
    }
  }
}
