/** The plug-in point for placing the tasks of jobs, and what all placers share. */

import { Registry } from "@rackspan/common";
import type { HostState, JobTask } from "@rackspan/jobs";
import type { SchedulingPolicy } from "./policy.js";
import type { TailForecast } from "./TailForecast.js";

export interface TaskPlacer {
  /**
   * @param hosts hosts in service; those without room are among them
   * @param mustPlace whether to pick a host even if others there are disturbed,
   *   or room is taken that is kept for others
   * @returns undefined when none can take the task now
   */
  pick(
    task: JobTask,
    hosts: readonly HostState[],
    mustPlace: boolean,
  ): HostState | undefined;
}

export interface TaskPlacerOptions {
  readonly forecast: TailForecast;
  readonly policy: SchedulingPolicy;
}

export const taskPlacers = new Registry<TaskPlacerOptions, TaskPlacer>(
  "placer of tasks",
);

/** Thousandths of a core that no reservation holds; filling tasks hold none. */
export const unreservedMilliCores = ({
  worker,
  allocated: room,
}: HostState): number =>
  worker.milliCores - room.plainMilliCores - room.servingMilliCores;

/** What reservations leave of a host; below 0 where it has less than it had. */
export interface FreeCapacity {
  readonly milliCores: number;
  readonly memoryMiB: number;
  readonly accelerators: number;
}

export const freeCapacityOf = (host: HostState): FreeCapacity => {
  const { worker, allocated: room } = host;
  return {
    milliCores: unreservedMilliCores(host),
    memoryMiB: worker.memoryMiB - room.memoryMiB,
    accelerators: worker.accelerators - room.accelerators,
  };
};

/** Whether a worker with this room would take the task by its own rules. */
export const fitsInto = (task: JobTask, left: FreeCapacity): boolean => {
  const { demand, filling } = task.step.spec;
  if (demand.memoryMiB > left.memoryMiB) return false;
  if (demand.accelerators > left.accelerators) return false;
  return filling || demand.milliCores <= left.milliCores;
};

/** Whether the step's own rules let the task run there. */
export const isAllowedOn = (task: JobTask, host: HostState): boolean => {
  const { requiredLabel, maxPerHost } = task.step.spec;
  if (!host.hasLabel(requiredLabel)) return false;
  return maxPerHost === 0 || host.countOfStep(task.step) < maxPerHost;
};

/** The allowed host with room that has the highest score. */
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
