/** Chooses hosts for all tasks of a gang at once, on one rack if the step asks for it. */

import { groupBy } from "@rackspan/common";
import type { HostState, JobTask, StepRun } from "@rackspan/jobs";
import { fitsInto, freeCapacityOf } from "./taskPlacers.js";

/** @returns undefined if the hosts do not have free resources for all tasks */
export const chooseGangHosts = (
  step: StepRun,
  waiting: readonly JobTask[],
  hosts: readonly HostState[],
): Map<JobTask, HostState> | undefined => {
  if (!step.spec.sameRack) return assignHosts(waiting, hosts);
  const racks = groupBy(hosts, ({ worker }) => worker.rack);
  for (const group of racks.values()) {
    const chosen = assignHosts(waiting, group);
    if (chosen) return chosen;
  }
  return assignHosts(waiting, hosts);
};

/**
 * Assigns each task to the first host with enough free resources after the assignments
 * before.
 */
const assignHosts = (
  tasks: readonly JobTask[],
  hosts: readonly HostState[],
): Map<JobTask, HostState> | undefined => {
  const freeByHost = new Map(
    hosts.map((host) => [host, { ...freeCapacityOf(host), ofStep: 0 }]),
  );
  const chosen = new Map<JobTask, HostState>();
  for (const task of tasks) {
    const { demand, filling, requiredLabel, maxPerHost } = task.step.spec;
    const host = hosts.find((candidate) => {
      const free = freeByHost.get(candidate);
      if (!free || !candidate.hasLabel(requiredLabel)) return false;
      if (maxPerHost > 0 && free.ofStep >= maxPerHost) return false;
      return fitsInto(task, free);
    });
    const free = host && freeByHost.get(host);
    if (!host || !free) return undefined;
    free.milliCores -= filling ? 0 : demand.milliCores;
    free.memoryMiB -= demand.memoryMiB;
    free.accelerators -= demand.accelerators;
    free.ofStep += 1;
    chosen.set(task, host);
  }
  return chosen;
};
