/**
 * Whether a step waits because no host has enough processor time. Steps that wait for
 * other reasons say nothing about the capacity for other jobs.
 */

import {
  crashLogOf,
  type HostState,
  type JobTask,
  type StepRun,
} from "@rackspan/jobs";
import type { Monotonic } from "@rackspan/common";
import { freeCapacityOf, type FreeCapacity } from "./taskPlacers.js";

/** The largest amounts that any one of the usable hosts of a service has. */
export interface LargestCapacity {
  readonly free: FreeCapacity;
  /** Capacity of the largest host, millicores. */
  readonly hostMilliCores: number;
}

/** @param hosts hosts of the service that accept tasks */
export const largestCapacityOf = (
  hosts: readonly HostState[],
): LargestCapacity => {
  const free = { milliCores: 0, memoryMiB: 0, accelerators: 0 };
  let hostMilliCores = 0;
  for (const host of hosts) {
    const each = freeCapacityOf(host);
    free.milliCores = Math.max(free.milliCores, each.milliCores);
    free.memoryMiB = Math.max(free.memoryMiB, each.memoryMiB);
    free.accelerators = Math.max(free.accelerators, each.accelerators);
    hostMilliCores = Math.max(hostMilliCores, host.worker.milliCores);
  }
  return { free, hostMilliCores };
};

export const lacksCapacity = (
  step: StepRun,
  { free, hostMilliCores }: LargestCapacity,
  now: Monotonic,
): boolean => {
  const { spec, waiting, unplacedSince, notBefore, job } = step;
  const [next] = waiting;
  if (unplacedSince === undefined || !next) return false;
  if (spec.gang || spec.requiredLabel !== "" || spec.maxPerHost > 0)
    return false;
  if (job.terms.permitRule || now < notBefore) return false;
  if (hasRulesOfItsOwn(next, now)) return false;
  const { milliCores, memoryMiB, accelerators } = spec.demand;
  if (memoryMiB > free.memoryMiB || accelerators > free.accelerators)
    return false;
  if (milliCores > hostMilliCores) return false;
  // Filling tasks reserve no cores: they wait while they would disturb serving tasks.
  return spec.filling || milliCores > free.milliCores;
};

/** Whether the task is not yet to start, avoids hosts, or needs a host of its own. */
const hasRulesOfItsOwn = (task: JobTask, now: Monotonic): boolean =>
  now < task.notBefore ||
  task.avoidedHosts.length > 0 ||
  task.writeAheadRun !== undefined ||
  crashLogOf(task).isSuspect;
