/**
 * Assigns the filling tasks that wait in one scheduling cycle to hosts jointly. Tasks of
 * one step are alike and form one class. Pure: the state of the hosts is read once, and
 * the additions of assigned tasks are summed up beside it.
 */

import { MILLI_CORES_PER_CORE } from "@rackspan/common";
import type { HostState, JobTask } from "@rackspan/jobs";
import type { ImageName } from "@rackspan/state";
import { MIN_ADDED_TAIL, type TailForecast } from "./TailForecast.js";
import {
  fitsInto,
  freeCapacityOf,
  isAllowedOn,
  type FillingPlacement,
  type FreeCapacity,
} from "./taskPlacers.js";

export const FILLING_ASSIGNMENT = {
  /** Score penalty per serving task that is expected to pass its target; see `overRisk`. */
  riskPenalty: 1,
  /**
   * Spread of the error of a forecast tail, logarithm; a tail this far below its target
   * already carries some risk.
   */
  riskSpread: 0.2,
  /**
   * Score that a class loses for each class that precedes it in the order of work, so
   * that the order decides between classes with similar scores.
   */
  orderPenalty: 0.05,
  /**
   * Weight of what a class loses if it gets its second best host, so that a class with
   * no other good host goes first.
   */
  regretWeight: 1,
  /** The regret of a class that fits on one host only. */
  maxRegret: 1,
  /** Classes considered in one cycle, the first in the order of work; bounds the cost. */
  maxClasses: 16,
} as const;

/** What the placer knows of a host apart from tails. */
export interface FillingHostView {
  /** Processor time that filling tasks can be expected to get, thousandths of a core. */
  readonly fillableMilliCores: number;
  /** Further processor time by which the host may be overcommitted, thousandths of a core. */
  readonly excessMilliCores: number;
}

export interface FillingAssignmentOptions {
  readonly forecast: TailForecast;
  readonly viewOf: (host: HostState) => FillingHostView;
  /** Score of the task on the host apart from free processor time and tails. */
  readonly bonusOf: (task: JobTask, host: HostState) => number;
  /** Share of a task's demand that must be available. */
  readonly minFillShare: number;
  /** Score penalty of hosts with serving tasks. */
  readonly servingPenalty: number;
  /** Expected run time of the task, milliseconds. */
  readonly runMsOf: (task: JobTask) => number;
}

/** Tasks that are interchangeable. */
interface TaskClass {
  readonly tasks: JobTask[];
  readonly image: ImageName;
  readonly cores: number;
  readonly runMs: number;
  /** What it adds to the tails of each serving image; logarithm. */
  readonly added: Map<ImageName, number>;
  /** Highest swing of each serving image during its run time; logarithm. */
  readonly swings: Map<ImageName, number>;
  /** Score on each host; -Infinity where it does not fit. */
  scores: Float64Array;
}

/** A serving image on a host, with the tail that is forecast for it. */
interface ServingSlot {
  readonly image: ImageName;
  readonly taskCount: number;
  readonly limit: number;
  /** Whether the tail was read, so that the swing has to be added. */
  readonly isRead: boolean;
  /** Logarithm of the tail without its swing, including tasks assigned in this cycle. */
  tail: number;
}

interface HostSlot {
  readonly host: HostState;
  readonly serving: readonly ServingSlot[];
  fillable: number;
  readonly excess: number;
  left: FreeCapacity;
  /** Tasks assigned in this cycle, by step. */
  readonly assigned: Map<object, number>;
}

export const assignFilling = (
  tasks: readonly JobTask[],
  hosts: readonly HostState[],
  options: FillingAssignmentOptions,
): FillingPlacement[] => {
  if (tasks.length === 0) return [];
  const assignment = new Assignment(tasks, hosts, options);
  return assignment.run();
};

class Assignment {
  private readonly classes: readonly TaskClass[];
  private readonly slots: readonly HostSlot[];
  private readonly placements: FillingPlacement[] = [];

  constructor(
    tasks: readonly JobTask[],
    hosts: readonly HostState[],
    private readonly options: FillingAssignmentOptions,
  ) {
    this.classes = classesOf(tasks, options);
    this.slots = hosts.map((host) => this.slotOf(host));
  }

  run(): FillingPlacement[] {
    for (const one of this.classes)
      one.scores = Float64Array.from(this.slots, (slot) =>
        this.score(one, slot),
      );
    for (;;) {
      const next = this.next();
      if (!next) return this.placements;
      this.place(next.one, next.at);
    }
  }

  /** The class that is placed next: its order counts, and what it loses if it waits. */
  private next(): { one: TaskClass; at: number } | undefined {
    const { orderPenalty, regretWeight, maxRegret } = FILLING_ASSIGNMENT;
    let chosen: { one: TaskClass; at: number } | undefined;
    let highest = -Infinity;
    let rank = 0;
    for (const one of this.classes) {
      if (one.tasks.length === 0) continue;
      const { at, best, second } = bestTwo(one.scores);
      if (at < 0) continue;
      const regret = Math.min(maxRegret, best - second);
      const value =
        this.rankingScore(one, at, best) +
        regretWeight * regret -
        orderPenalty * rank;
      rank += 1;
      if (value <= highest) continue;
      highest = value;
      chosen = { one, at };
    }
    return chosen;
  }

  /**
   * The score by which classes compete. Which host a task prefers does not count: a task
   * that failed on the only host it can use would wait for all others.
   */
  private rankingScore(one: TaskClass, at: number, best: number): number {
    const [task] = one.tasks;
    const slot = this.slots[at];
    if (!task || !slot) return best;
    return best - this.options.bonusOf(task, slot.host);
  }

  private place(one: TaskClass, at: number): void {
    const slot = this.slots[at] as HostSlot;
    const task = one.tasks.shift() as JobTask;
    this.placements.push({ task, host: slot.host });
    const { step } = task;
    const { demand } = step.spec;
    slot.assigned.set(step, (slot.assigned.get(step) ?? 0) + 1);
    slot.fillable -= demand.milliCores;
    slot.left = {
      milliCores: slot.left.milliCores,
      memoryMiB: slot.left.memoryMiB - demand.memoryMiB,
      accelerators: slot.left.accelerators - demand.accelerators,
    };
    for (const serving of slot.serving)
      serving.tail += this.added(serving, one);
    for (const other of this.classes)
      if (other.tasks.length > 0) other.scores[at] = this.score(other, slot);
  }

  private added({ image }: ServingSlot, one: TaskClass): number {
    const known = one.added.get(image);
    if (known !== undefined) return known;
    const { forecast } = this.options;
    const added = forecast.weightUpperBound(image, one.image) * one.cores;
    one.added.set(image, added);
    return added;
  }

  private swing({ image, isRead }: ServingSlot, one: TaskClass): number {
    if (!isRead) return 0;
    const known = one.swings.get(image);
    if (known !== undefined) return known;
    const swing = this.options.forecast.highestSwing(image, one.runMs);
    one.swings.set(image, swing);
    return swing;
  }

  /** @returns -Infinity if the class does not fit on the host */
  private score(one: TaskClass, slot: HostSlot): number {
    const [task] = one.tasks;
    if (!task) return -Infinity;
    const { host } = slot;
    const { minFillShare, servingPenalty, bonusOf } = this.options;
    const { demand, maxPerHost } = task.step.spec;
    const minMilliCores = minFillShare * demand.milliCores;
    if (slot.fillable + slot.excess < minMilliCores) return -Infinity;
    if (!isAllowedOn(task, host) || !fitsInto(task, slot.left))
      return -Infinity;
    const assigned = slot.assigned.get(task.step) ?? 0;
    if (maxPerHost > 0 && host.countOfStep(task.step) + assigned >= maxPerHost)
      return -Infinity;
    const left = slot.fillable / host.worker.milliCores;
    const score = left + bonusOf(task, host);
    if (slot.serving.length === 0) return score;
    let risk = 0;
    for (const serving of slot.serving) {
      const added = this.added(serving, one);
      const tail = serving.tail + this.swing(serving, one);
      if (added > MIN_ADDED_TAIL && tail + added > serving.limit)
        return -Infinity;
      risk += serving.taskCount * (overRisk(tail + added) - overRisk(tail));
    }
    return score - servingPenalty - FILLING_ASSIGNMENT.riskPenalty * risk;
  }

  private slotOf(host: HostState): HostSlot {
    const { forecast, viewOf } = this.options;
    const { fillableMilliCores, excessMilliCores } = viewOf(host);
    return {
      host,
      fillable: fillableMilliCores,
      excess: excessMilliCores,
      left: freeCapacityOf(host),
      assigned: new Map(),
      serving: [...host.servingImages].map((image) => ({
        image,
        taskCount: host.servingCount(image),
        limit: forecast.limitOf(host, image),
        isRead: host.readings.tails.has(image),
        tail: forecast.tailWithoutSwing(host, image),
      })),
    };
  }
}

/** Chance that a tail with this forecast passes its target; the forecast is a logarithm. */
const overRisk = (tail: number): number =>
  1 / (1 + Math.exp(-tail / FILLING_ASSIGNMENT.riskSpread));

const classesOf = (
  tasks: readonly JobTask[],
  { runMsOf }: FillingAssignmentOptions,
): TaskClass[] => {
  const classes = new Map<object, Map<string, TaskClass>>();
  const all: TaskClass[] = [];
  for (const task of tasks) {
    const { step } = task;
    const byAvoided = classes.get(step) ?? new Map<string, TaskClass>();
    classes.set(step, byAvoided);
    const key = task.avoidedHosts.join(" ");
    const known = byAvoided.get(key);
    if (known) {
      known.tasks.push(task);
      continue;
    }
    if (all.length >= FILLING_ASSIGNMENT.maxClasses) break;
    const { image, demand } = step.spec;
    const one = {
      tasks: [task],
      image,
      cores: demand.milliCores / MILLI_CORES_PER_CORE,
      runMs: runMsOf(task),
      added: new Map<ImageName, number>(),
      swings: new Map<ImageName, number>(),
      scores: new Float64Array(0),
    };
    byAvoided.set(key, one);
    all.push(one);
  }
  return all;
};

const bestTwo = (
  scores: Float64Array,
): { at: number; best: number; second: number } => {
  let at = -1;
  let best = -Infinity;
  let second = -Infinity;
  for (let index = 0; index < scores.length; index += 1) {
    const score = scores[index] as number;
    if (score > best) {
      second = best;
      best = score;
      at = index;
    } else if (score > second) second = score;
  }
  return { at, best, second };
};
