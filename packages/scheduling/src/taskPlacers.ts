/** The plug-in point for the placement of job tasks, and helpers for all placers. */

import { Registry } from "@rackspan/common";
import type { HostState, JobTask } from "@rackspan/jobs";
import type { SchedulingPolicy } from "./policy.js";
import type { RuntimeEstimator } from "./RuntimeEstimator.js";
import type { TailForecast, TailRefusal } from "./TailForecast.js";

export interface TaskPlacer {
  /**
   * @param hosts hosts in service, including those without free resources
   * @param mustPlace whether to pick a host even if tasks there are disturbed, or if
   *   resources are used that are reserved for others
   * @returns undefined if no host can take the task now
   */
  pick(
    task: JobTask,
    hosts: readonly HostState[],
    mustPlace: boolean,
  ): HostState | undefined;
  /**
   * Explains why `pick` refuses a host with enough free resources. Absent if the placer
   * refuses none.
   *
   * @param hosts hosts in service, including this one
   */
  refusalOf?(
    task: JobTask,
    host: HostState,
    hosts: readonly HostState[],
  ): PlacerRefusal | undefined;
  /**
   * Assigns waiting filling tasks to hosts jointly; absent if the placer only places
   * one task after the other.
   *
   * @param tasks in the order of work; tasks without a host are left out of the result
   * @param hosts hosts that are open to all of these tasks
   */
  assignFilling?(
    tasks: readonly JobTask[],
    hosts: readonly HostState[],
  ): readonly FillingPlacement[];
}

/**
 * Why a placer refuses a host with enough free resources:
 * - one of `TailRefusal`: the tail of a serving task there would exceed its limit;
 * - `idle-cores`: too few processors are idle for a filling task;
 * - `plain-reserve`: a serving task would take what urgent plain tasks may need.
 */
export type PlacerRefusal = TailRefusal | "idle-cores" | "plain-reserve";

/** The host that a task is assigned to. */
export interface FillingPlacement {
  readonly task: JobTask;
  readonly host: HostState;
}

export interface TaskPlacerOptions {
  readonly forecast: TailForecast;
  readonly estimates: RuntimeEstimator;
  readonly policy: SchedulingPolicy;
}

export const taskPlacers = new Registry<TaskPlacerOptions, TaskPlacer>(
  "placer of tasks",
);

/**
 * Returns the thousandths of a core that are not reserved; filling tasks reserve none.
 */
export const unreservedMilliCores = ({
  worker,
  allocated,
}: HostState): number =>
  worker.milliCores - allocated.plainMilliCores - allocated.servingMilliCores;

/**
 * Resources of a host that are not reserved; negative if the host's capacity was
 * reduced.
 */
export interface FreeCapacity {
  readonly milliCores: number;
  readonly memoryMiB: number;
  readonly accelerators: number;
}

export const freeCapacityOf = (host: HostState): FreeCapacity => {
  const { worker, allocated } = host;
  return {
    milliCores: unreservedMilliCores(host),
    memoryMiB: worker.memoryMiB - allocated.memoryMiB,
    accelerators: worker.accelerators - allocated.accelerators,
  };
};

/** Whether a worker with these free resources would accept the task by its own rules. */
export const fitsInto = (task: JobTask, left: FreeCapacity): boolean => {
  const { demand, filling } = task.step.spec;
  if (demand.memoryMiB > left.memoryMiB) return false;
  if (demand.accelerators > left.accelerators) return false;
  return filling || demand.milliCores <= left.milliCores;
};

/** Whether the rules of the step allow the task on the host. */
export const isAllowedOn = (task: JobTask, host: HostState): boolean => {
  const { requiredLabel, maxPerHost } = task.step.spec;
  if (!host.hasLabel(requiredLabel)) return false;
  return maxPerHost === 0 || host.countOfStep(task.step) < maxPerHost;
};

/** Returns the allowed host with enough free resources that has the highest score. */
export const pickByScore = (
  task: JobTask,
  hosts: readonly HostState[],
  score: (host: HostState) => number,
): HostState | undefined => {
  let best: HostState | undefined;
  let bestScore = -Infinity;
  for (const host of hosts) {
    if (!isAllowedOn(task, host) || !fitsInto(task, freeCapacityOf(host)))
      continue;
    const value = score(host);
    if (value <= bestScore) continue;
    best = host;
    bestScore = value;
  }
  return best;
};
