/**
 * Decides the pace of the filling tasks on this host: tasks that may be slowed down for the
 * serving tasks beside them, which have a tail latency target. While a tail nears its
 * target, the filling tasks that are known to disturb it are slowed down first; while there
 * is slack, they are sped up again. Sends no orders.
 */

import {
  MILLI_CORES_PER_CORE,
  type JobTaskId,
  type Monotonic,
} from "@rackspan/common";
import { runKeyOf, type RunningTask } from "@rackspan/ports";
import {
  FULL_PACE,
  type InterferenceWeight,
  type InterferenceProfile,
} from "@rackspan/protocol";
import { retainListedRuns } from "./retainListedRuns.js";
import { TaskDescriptions } from "./TaskDescriptions.js";
import { TailOverrunTracker } from "./TailOverrunTracker.js";
import {
  headroomOf,
  PACE_FACTORS,
  paceFactors,
  type ServingTail,
} from "./paceFactors.js";

/**
 * The shares of the allowed time are chosen so that two readings fit between slowing all
 * filling tasks, halting them, and the end of that time.
 */
export const PACING = {
  /** Least pace of a filling task, percent: some progress distinguishes it from a hung task. */
  minPercent: 4,
  /** Least pace at which a new task starts, percent. */
  minFirstPercent: 15,
  /** Least increase of a pace, percentage points. */
  minSpeedUpPoints: 8,
  /** Interval between two adjustments, milliseconds; a reading spans 500. */
  intervalMs: 250,
  /**
   * Share of the time that a tail may stay over its target after which every filling task is
   * slowed down: the learned weights of the images are then assumed to be wrong.
   */
  slowAllAfter: 0.25,
  /** Share of it after which all filling tasks are halted; a reading is half a second old. */
  haltAfter: 0.6,
} as const;

/** Pace of a task that must not disturb at all for now, percent. */
const HALTED = 0;

/** Escalation level that follows from the longest time of a tail over its target. */
type Escalation = "none" | "blame-all" | "halt";

export interface PacePlannerOptions {
  /** Longest time that a tail may stay over its target without a break, milliseconds. */
  readonly tailGraceMs: number;
  /** Share of its target at which a tail is held while filling tasks could use more. */
  readonly tailAim: number;
}

export interface PacePlan {
  /** Target pace of each filling task, percent. */
  readonly paces: ReadonlyMap<RunningTask, number>;
  /** Tasks whose pace is lowered. */
  readonly slowed: ReadonlySet<RunningTask>;
  readonly serving: readonly ServingTail[];
}

export class PacePlanner {
  private readonly tasks = new TaskDescriptions();
  private readonly tailOverruns = new TailOverrunTracker();
  /** Latest target pace of each run, percent. */
  private readonly targetPaces = new Map<string, number>();

  constructor(private readonly options: PacePlannerOptions) {}

  describe(task: JobTaskId, profile: InterferenceProfile): void {
    this.tasks.describe(task, profile);
  }

  /** Replaces the interference weights by those that the leader sent for the images on this host. */
  updateDisturbances(disturbances: readonly InterferenceWeight[]): void {
    this.tasks.updateDisturbances(disturbances);
  }

  /**
   * Adopts a run that this process did not start. Its pace is derived from the processor
   * time that it gets.
   */
  adoptRun(row: RunningTask): void {
    const key = runKeyOf(row);
    if (!this.tasks.isFilling(row) || this.targetPaces.has(key)) return;
    const pace = Math.round(this.usedPercent(row));
    this.targetPaces.set(
      key,
      Math.min(FULL_PACE, Math.max(PACING.minPercent, pace)),
    );
  }

  /** Records the pace at which the run was started, percent. */
  recordFirstPace(row: RunningTask, percent: number): void {
    this.targetPaces.set(runKeyOf(row), percent);
  }

  /** @param running the worker's running tasks with their latest readings */
  plan(running: readonly RunningTask[], now: Monotonic): PacePlan {
    this.removeEnded(running);
    const filling = running.filter((row) => this.tasks.isFilling(row));
    const serving = this.tasks.servingTails(running);
    const escalation = this.escalationAfter(
      this.tailOverruns.update(serving, now),
    );
    const factors = paceFactors({
      aim: this.options.tailAim,
      serving,
      filling,
      weightOf: (image, row) => this.tasks.weightOf(image, row),
    });
    const paces = new Map<RunningTask, number>();
    const slowed = new Set<RunningTask>();
    for (const row of filling) {
      const before =
        this.targetPaces.get(runKeyOf(row)) ??
        this.firstPace(row, serving, filling);
      const factor = boundFactor(factors.get(row) ?? 1, escalation);
      // A halted task resumes at its least pace as soon as the halt is over.
      const base = Math.max(before, PACING.minPercent);
      const pace =
        escalation === "halt" ? HALTED : this.nextPace(row, base, factor);
      if (pace < before) slowed.add(row);
      this.targetPaces.set(runKeyOf(row), pace);
      paces.set(row, pace);
    }
    return { paces, slowed, serving };
  }

  /** @param longestMs the longest time of any tail over its target */
  private escalationAfter(longestMs: number): Escalation {
    const share = longestMs / this.options.tailGraceMs;
    if (share >= PACING.haltAfter) return "halt";
    return share >= PACING.slowAllAfter ? "blame-all" : "none";
  }

  /** Processor time that the task got, percent of what it requested. */
  private usedPercent(row: RunningTask): number {
    return (FULL_PACE * row.reading) / this.tasks.demandOf(row);
  }

  private nextPace(row: RunningTask, before: number, factor: number): number {
    const target = this.usedPercent(row) * factor;
    if (factor < 1) {
      const slower = Math.min(before, Math.round(target));
      return Math.max(Math.min(before, PACING.minPercent), slower);
    }
    if (factor === 1) return before;
    const faster = Math.max(
      before + PACING.minSpeedUpPoints,
      Math.min(target, before * PACE_FACTORS.maxFactor),
    );
    return Math.min(FULL_PACE, Math.round(faster));
  }

  /** A new task gets the pace of other tasks of its image here, or the pace that the tails allow. */
  private firstPace(
    row: RunningTask,
    serving: readonly ServingTail[],
    filling: readonly RunningTask[],
  ): number {
    const pace =
      this.paceOfSiblings(row, filling) ??
      this.paceWithinHeadroom(row, serving);
    return Math.max(PACING.minFirstPercent, pace);
  }

  /** The lowest pace of other tasks of the image; undefined when there are none. */
  private paceOfSiblings(
    row: RunningTask,
    filling: readonly RunningTask[],
  ): number | undefined {
    const image = this.tasks.imageOf(row);
    const paces = filling
      .filter((other) => this.tasks.imageOf(other) === image)
      .map((other) => this.targetPaces.get(runKeyOf(other)))
      .filter((pace) => pace !== undefined);
    return paces.length > 0 ? Math.min(...paces) : undefined;
  }

  /** The pace at which the task alone would use up the smallest headroom of any tail. */
  private paceWithinHeadroom(
    row: RunningTask,
    serving: readonly ServingTail[],
  ): number {
    const cores = this.tasks.demandOf(row) / MILLI_CORES_PER_CORE;
    let pace = FULL_PACE;
    for (const server of serving) {
      const weight = this.tasks.weightOf(server.image, row);
      if (weight < PACE_FACTORS.minWeight) continue;
      const share =
        Math.max(0, headroomOf(server, this.options.tailAim)) /
        (weight * cores);
      pace = Math.min(pace, Math.round(FULL_PACE * share));
    }
    return pace;
  }

  private removeEnded(running: readonly RunningTask[]): void {
    retainListedRuns(this.targetPaces, running);
    const tasks = new Set(running.map(({ task }) => task));
    this.tailOverruns.retainOnly(tasks);
    this.tasks.retainOnly(tasks);
  }
}

/** A tail that stays over its target for too long shows that its cause is not known. */
const boundFactor = (factor: number, escalation: Escalation): number =>
  escalation === "none" ? factor : Math.min(factor, PACE_FACTORS.minFactor);
