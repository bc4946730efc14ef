/**
 * Decides at what pace the filling tasks of this host go on: slower while a
 * serving task beside them nears its tail target, those first that are known to
 * disturb it, and faster again while there is slack. Gives no orders.
 */

import {
  MILLI_CORES_PER_CORE,
  type JobTaskId,
  type Monotonic,
} from "@rackspan/common";
import { runKeyOf, type RunningTask } from "@rackspan/ports";
import type { Disturbance, TaskNature } from "@rackspan/protocol";
import {
  headroomOf,
  PACE_LAW,
  paceFactors,
  type ServingTail,
} from "./paceFactors.js";

export const PACING = {
  /** Their least pace, percent: some progress tells them from hung tasks. */
  leastPercent: 4,
  /** Least pace at which a new task begins, percent. */
  leastFirstPercent: 15,
  /** Points of percent by which they speed up at least. */
  leastSpeedPoints: 8,
  /** Time between two adjustments, milliseconds; a reading spans 500. */
  everyMs: 250,
  /**
   * Share of the time that a tail may stay over its target after which every
   * filling task is slowed: what was learnt of the images is then wrong.
   */
  blameAllAfter: 0.25,
  /** Share of it after which they stand still; a reading is half a second old. */
  haltAfter: 0.6,
} as const;

/** Percent; the pace of a task that nobody slows. */
export const FULL_PACE = 100;

/** Percent; the pace of a task that must not disturb at all for now. */
const HALTED = 0;

/** Natures of tasks that were ordered and are not listed yet. */
const KEPT_NATURES = 64;

/** What the longest time of a tail over its target asks for. */
type Trouble = "none" | "blame-all" | "halt";

export interface PacePlannerOptions {
  /** Milliseconds for which a tail may stay over its target on end. */
  readonly tailGraceMs: number;
}

export interface PacePlan {
  /** The pace wanted for each filling task, percent. */
  readonly paces: ReadonlyMap<RunningTask, number>;
  /** Those of them that must slow down. */
  readonly slowed: ReadonlySet<RunningTask>;
  readonly serving: readonly ServingTail[];
}

export class PacePlanner {
  private readonly natures = new Map<JobTaskId, TaskNature>();
  /** By serving image, then filling image. */
  private readonly weights = new Map<string, Map<string, number>>();
  /** The pace last wanted for each run, percent. */
  private readonly wanted = new Map<string, number>();
  /** Since when each serving task's tail has been over its target. */
  private readonly overSince = new Map<JobTaskId, Monotonic>();

  constructor(private readonly options: PacePlannerOptions) {}

  describe(task: JobTaskId, nature: TaskNature): void {
    this.natures.set(task, nature);
  }

  /** Takes what the leader knows of the images on this host. */
  learn(disturbances: readonly Disturbance[]): void {
    this.weights.clear();
    for (const { serving, filling, weight } of disturbances) {
      const row = this.weights.get(serving) ?? new Map<string, number>();
      row.set(filling, weight);
      this.weights.set(serving, row);
    }
  }

  /**
   * Takes a run that this process did not start: its pace is told by the
   * processor time that it gets.
   */
  noteFound(row: RunningTask): void {
    const key = runKeyOf(row);
    if (this.kindOf(row) !== "filling" || this.wanted.has(key)) return;
    const pace = Math.round(this.usedPercent(row));
    this.wanted.set(
      key,
      Math.min(FULL_PACE, Math.max(PACING.leastPercent, pace)),
    );
  }

  /** @param running the worker's running tasks with their latest readings */
  plan(running: readonly RunningTask[], now: Monotonic): PacePlan {
    this.forgetEnded(running);
    const filling = running.filter((row) => this.kindOf(row) === "filling");
    const serving = this.servingTails(running);
    const trouble = this.noteTrouble(running, now);
    const factors = paceFactors({
      serving,
      filling,
      weightOf: (image, row) => this.weightOf(image, row),
    });
    const paces = new Map<RunningTask, number>();
    const slowed = new Set<RunningTask>();
    for (const row of filling) {
      const before =
        this.wanted.get(runKeyOf(row)) ?? this.firstPace(row, serving, filling);
      const factor = boundFactor(factors.get(row) ?? 1, trouble);
      const pace =
        trouble === "halt" ? HALTED : this.nextPace(row, before, factor);
      if (pace < before) slowed.add(row);
      this.wanted.set(runKeyOf(row), pace);
      paces.set(row, pace);
    }
    return { paces, slowed, serving };
  }

  private kindOf({ task }: RunningTask): TaskNature["kind"] | undefined {
    return this.natures.get(task)?.kind;
  }

  private servingTails(running: readonly RunningTask[]): ServingTail[] {
    const tails: ServingTail[] = [];
    for (const { task, reading } of running) {
      const nature = this.natures.get(task);
      if (nature?.kind !== "serving" || nature.tailTargetMs <= 0) continue;
      tails.push({ image: nature.image, tail: reading / nature.tailTargetMs });
    }
    return tails;
  }

  /** The worst trouble of any serving task, by how long its tail has been too long. */
  private noteTrouble(
    running: readonly RunningTask[],
    now: Monotonic,
  ): Trouble {
    let longestMs = 0;
    for (const { task, reading } of running) {
      const nature = this.natures.get(task);
      if (nature?.kind !== "serving" || nature.tailTargetMs <= 0) continue;
      if (reading <= nature.tailTargetMs) {
        this.overSince.delete(task);
        continue;
      }
      const since = this.overSince.get(task) ?? now;
      this.overSince.set(task, since);
      longestMs = Math.max(longestMs, now - since);
    }
    const share = longestMs / this.options.tailGraceMs;
    if (share >= PACING.haltAfter) return "halt";
    return share >= PACING.blameAllAfter ? "blame-all" : "none";
  }

  private weightOf(serving: string, { task }: RunningTask): number {
    const image = this.natures.get(task)?.image ?? "";
    return this.weights.get(serving)?.get(image) ?? 0;
  }

  /** Thousandths of a core that the task asked for, at least one. */
  private demandOf({ task }: RunningTask): number {
    return Math.max(1, this.natures.get(task)?.milliCores ?? 0);
  }

  /** Processor time that the task got, percent of what it asked for. */
  private usedPercent(row: RunningTask): number {
    return (FULL_PACE * row.reading) / this.demandOf(row);
  }

  private nextPace(row: RunningTask, before: number, factor: number): number {
    const wanted = this.usedPercent(row) * factor;
    if (factor < 1) {
      const slower = Math.min(before, Math.round(wanted));
      return Math.max(Math.min(before, PACING.leastPercent), slower);
    }
    if (factor === 1) return before;
    const faster = Math.max(
      before + PACING.leastSpeedPoints,
      Math.min(wanted, before * PACE_LAW.mostFactor),
    );
    return Math.min(FULL_PACE, Math.round(faster));
  }

  /** A new task goes on as others of its image do here, or as the tails allow. */
  private firstPace(
    row: RunningTask,
    serving: readonly ServingTail[],
    filling: readonly RunningTask[],
  ): number {
    const image = this.natures.get(row.task)?.image;
    const siblings = filling
      .filter((other) => this.natures.get(other.task)?.image === image)
      .map((other) => this.wanted.get(runKeyOf(other)))
      .filter((pace) => pace !== undefined);
    if (siblings.length > 0) {
      return Math.max(PACING.leastFirstPercent, Math.min(...siblings));
    }
    const cores = this.demandOf(row) / MILLI_CORES_PER_CORE;
    let pace = FULL_PACE;
    for (const server of serving) {
      const weight = this.weightOf(server.image, row);
      if (weight < PACE_LAW.leastWeight) continue;
      const share = Math.max(0, headroomOf(server)) / (weight * cores);
      pace = Math.min(pace, Math.round(FULL_PACE * share));
    }
    return Math.max(PACING.leastFirstPercent, pace);
  }

  private forgetEnded(running: readonly RunningTask[]): void {
    forgetOthers(this.wanted, running);
    const tasks = new Set(running.map(({ task }) => task));
    for (const task of this.overSince.keys()) {
      if (!tasks.has(task)) this.overSince.delete(task);
    }
    if (this.natures.size <= 2 * tasks.size + KEPT_NATURES) return;
    for (const task of this.natures.keys()) {
      if (!tasks.has(task)) this.natures.delete(task);
    }
  }
}

/** A tail that stays too long shows that the tasks to blame are not known. */
const boundFactor = (factor: number, trouble: Trouble): number =>
  trouble === "none" ? factor : Math.min(factor, PACE_LAW.leastFactor);

/** Drops the paces of runs that are not listed any more. */
export const forgetOthers = (
  paces: Map<string, number>,
  running: readonly RunningTask[],
): void => {
  const keys = new Set(running.map(runKeyOf));
  for (const key of paces.keys()) if (!keys.has(key)) paces.delete(key);
};
