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
  if (!step.spec.sameRack) return spread(waiting, hosts);
  const racks = groupBy(hosts, ({ worker }) => worker.rack);
  for (const group of racks.values()) {
    const chosen = spread(waiting, group);
    if (chosen) return chosen;
  }
  return spread(waiting, hosts);
};

/**
 * Assigns each task to the first host with enough free resources after the assignments
 * before.
 */
const spread = (
  tasks: readonly JobTask[],
  hosts: readonly HostState[],
): Map<JobTask, HostState> | undefined => {
  const left = new Map(
    hosts.map((host) => [host, { ...freeCapacityOf(host), ofStep: 0 }]),
  );
  const chosen = new Map<JobTask, HostState>();
  for (const task of tasks) {
    const { demand, filling, requiredLabel, maxPerHost } = task.step.spec;
    const host = hosts.find((candidate) => {
      const room = left.get(candidate);
      if (!room || !candidate.hasLabel(requiredLabel)) return false;
      if (maxPerHost > 0 && room.ofStep >= maxPerHost) return false;
      return fitsInto(task, room);
    });
    const room = host && left.get(host);
    if (!host || !room) return undefined;
    room.milliCores -= filling ? 0 : demand.milliCores;
    room.memoryMiB -= demand.memoryMiB;
    room.accelerators -= demand.accelerators;
    room.ofStep += 1;
    chosen.set(task, host);
  }
  return chosen;
};
