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

export const PACING = {
  /** Share of its target at which a tail slows filling tasks down. */
  slowAbove: 0.9,
  /** Share of its target below which they may speed up. */
  speedBelow: 0.75,
  /** They go on at this share of their pace. */
  slowFactor: 0.6,
  /** Share of its target that a tail is expected to reach when tasks speed up. */
  aim: 0.8,
  /** Tasks may go past what is expected to be right by this factor. */
  overshoot: 1.25,
  /** Least pace that an expectation alone holds a task to, percent. */
  leastExpected: 12,
  /** Points of percent by which they speed up at a time. */
  speedPoints: 10,
  /** Their least pace, percent: some progress tells them from hung tasks. */
  leastPercent: 4,
  /** Time between two adjustments, milliseconds; a reading spans 500. */
  everyMs: 250,
  /** A pair below this weight is taken as harmless while others are to blame. */
  leastBlamedWeight: 0.03,
  /** A task that adds less than this share of what the worst one adds is not to blame. */
  leastBlamedShare: 0.2,
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

export interface ServingTail {
  readonly image: string;
  /** Share of the target. */
  readonly tail: number;
}

/** How long a serving task's tail has been over its target. */
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
  /** Logarithm of each serving image's tail when nothing disturbs it. */
  private bases: Readonly<Record<string, number>> = {};
  /** The pace last wanted for each run, percent. */
  private readonly wanted = new Map<string, number>();
  /** Since when each serving task's tail has been over its target. */
  private readonly overSince = new Map<JobTaskId, Monotonic>();

  constructor(private readonly options: PacePlannerOptions) {}

  describe(task: JobTaskId, nature: TaskNature): void {
    this.natures.set(task, nature);
  }

  /** Takes what the leader knows of the images on this host. */
  learn(
    disturbances: readonly Disturbance[],
    bases: Readonly<Record<string, number>>,
  ): void {
    this.bases = bases;
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
    const nature = this.natures.get(row.task);
    const key = runKeyOf(row);
    if (nature?.kind !== "filling" || this.wanted.has(key)) return;
    const demand = Math.max(1, nature.milliCores);
    const share = Math.round((FULL_PACE * row.reading) / demand);
    const pace = Math.min(FULL_PACE, Math.max(PACING.leastPercent, share));
    this.wanted.set(key, pace);
  }

  /** @param running the worker's running tasks with their latest readings */
  plan(running: readonly RunningTask[], now: Monotonic): PacePlan {
    this.forgetEnded(running);
    const filling = running.filter(
      ({ task }) => this.natures.get(task)?.kind === "filling",
    );
    const paces = new Map<RunningTask, number>();
    const serving = this.servingTails(running);
    const trouble = this.noteTrouble(running, now);
    const slowed =
      trouble === "none" ? this.blamed(serving, filling) : new Set(filling);
    const expected = this.expectedPaces(serving, filling);
    for (const row of filling) {
      const pace =
        trouble === "halt"
          ? HALTED
          : Math.min(
              this.mostExpected(row, expected),
              this.nextPace(row, slowed.has(row), serving, filling),
            );
      this.wanted.set(runKeyOf(row), pace);
      paces.set(row, pace);
    }
    return { paces, slowed, serving };
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

  /** The filling tasks that are to slow down. */
  private blamed(
    serving: readonly ServingTail[],
    filling: readonly RunningTask[],
  ): Set<RunningTask> {
    const blamed = new Set<RunningTask>();
    for (const { image, tail } of serving) {
      if (tail <= PACING.slowAbove) continue;
      const added = filling.map((row) => this.addedBy(row, image));
      const worst = Math.max(...added);
      filling.forEach((row, at) => {
        // Where no pair is known to disturb, any of them may be the cause.
        const share = (added[at] as number) / Math.max(worst, Number.MIN_VALUE);
        if (worst <= 0 || share >= PACING.leastBlamedShare) blamed.add(row);
      });
    }
    return blamed;
  }

  /** What the task adds to the logarithm of the serving image's tail. */
  private addedBy({ task, reading }: RunningTask, serving: string): number {
    const weight = this.weightOf(serving, task);
    if (weight < PACING.leastBlamedWeight) return 0;
    return (weight * reading) / MILLI_CORES_PER_CORE;
  }

  private weightOf(serving: string, task: JobTaskId): number {
    const image = this.natures.get(task)?.image ?? "";
    return this.weights.get(serving)?.get(image) ?? 0;
  }

  private nextPace(
    row: RunningTask,
    isSlowed: boolean,
    serving: readonly ServingTail[],
    filling: readonly RunningTask[],
  ): number {
    const known = this.wanted.get(runKeyOf(row));
    const before = known ?? this.paceOfSiblings(row, filling);
    if (isSlowed) {
      const slower = Math.round(before * PACING.slowFactor);
      return Math.max(PACING.leastPercent, slower);
    }
    const mayHarm = serving.some(
      ({ image, tail }) =>
        tail >= PACING.speedBelow &&
        this.weightOf(image, row.task) >= PACING.leastBlamedWeight,
    );
    if (mayHarm || known === undefined) return before;
    return Math.min(FULL_PACE, before + PACING.speedPoints);
  }

  /** A new task goes on at the pace that others of its image have here. */
  private paceOfSiblings(
    { task }: RunningTask,
    filling: readonly RunningTask[],
  ): number {
    const image = this.natures.get(task)?.image;
    const paces = filling
      .filter((other) => this.natures.get(other.task)?.image === image)
      .map((other) => this.wanted.get(runKeyOf(other)) ?? FULL_PACE);
    return Math.min(FULL_PACE, ...paces);
  }

  /** For each serving image: the pace of what disturbs it at which its tail is right. */
  private expectedPaces(
    serving: readonly ServingTail[],
    filling: readonly RunningTask[],
  ): Map<string, number> {
    const paces = new Map<string, number>();
    for (const image of new Set(serving.map((one) => one.image))) {
      const base = this.bases[image];
      if (base === undefined) continue;
      let added = 0;
      for (const { task } of filling) {
        const cores =
          (this.natures.get(task)?.milliCores ?? 0) / MILLI_CORES_PER_CORE;
        added += this.weightOf(image, task) * cores;
      }
      const slack = Math.max(0, Math.log(PACING.aim) - base);
      if (added > slack) paces.set(image, (FULL_PACE * slack) / added);
    }
    return paces;
  }

  /** The most that the expected paces let the task have, percent. */
  private mostExpected(
    { task }: RunningTask,
    expected: ReadonlyMap<string, number>,
  ): number {
    let most = FULL_PACE;
    for (const [image, pace] of expected) {
      if (this.weightOf(image, task) < PACING.leastBlamedWeight) continue;
      const bounded = Math.max(PACING.leastExpected, PACING.overshoot * pace);
      most = Math.min(most, Math.round(bounded));
    }
    return most;
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

/** Drops the paces of runs that are not listed any more. */
export const forgetOthers = (
  paces: Map<string, number>,
  running: readonly RunningTask[],
): void => {
  const keys = new Set(running.map(runKeyOf));
  for (const key of paces.keys()) if (!keys.has(key)) paces.delete(key);
};
