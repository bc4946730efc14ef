/** Processors that serving tasks leave free for urgent plain tasks. */

import type { HostState, JobTask } from "@rackspan/jobs";

const PLAIN_RESERVE = {
  /** Share of the processors of all hosts together. */
  ofService: 0.08,
  /** Share of each host, as the tasks of a plain step may need separate hosts. */
  ofHost: 0.02,
} as const;

/**
 * Whether the serving task leaves the reserve of the host.
 * @param alsoMilliCores what other serving tasks take there that are not placed yet
 */
export const leavesHostReserve = (
  { step }: JobTask,
  { worker, allocated }: HostState,
  alsoMilliCores = 0,
): boolean =>
  allocated.servingMilliCores + alsoMilliCores + step.spec.demand.milliCores <=
  (1 - PLAIN_RESERVE.ofHost) * worker.milliCores;

/**
 * Returns the hosts on which the serving task leaves enough for urgent plain tasks; none
 * if all hosts together would not.
 */
export const hostsWithReserve = (
  task: JobTask,
  hosts: readonly HostState[],
): readonly HostState[] => {
  let total = 0;
  let reserved = task.step.spec.demand.milliCores;
  for (const { worker, allocated } of hosts) {
    total += worker.milliCores;
    reserved += allocated.servingMilliCores;
  }
  if (reserved > (1 - PLAIN_RESERVE.ofService) * total) return [];
  return hosts.filter((host) => leavesHostReserve(task, host));
};
