/** Chooses the host for a task that may crash its worker. */

import { isSettled, type HostState, type JobTask } from "@rackspan/jobs";
import type { HostEntry } from "./engineTypes.js";
import type { TaskPlacer } from "./taskPlacers.js";

/**
 * Whether one more host may be reserved for an isolated start. After the loss of a rack
 * many tasks are suspect, and the others need hosts, too. A task that has waited for
 * long must leave them one: if all hosts were reserved, jobs without suspect tasks
 * would wait for as long as new suspects arrive.
 *
 * @param openHosts hosts of the service that accept new tasks
 */
export const mayIsolate = (
  openHosts: readonly HostState[],
  all: Iterable<HostEntry>,
  hasWaitedLong: boolean,
): boolean => {
  const [host] = openHosts;
  if (!host) return false;
  const { service } = host.worker;
  const reserved = [...all].filter(
    ({ hostState }) =>
      hostState.hasIsolatedRun && hostState.worker.service === service,
  );
  if (reserved.length === 0) return true;
  return hasWaitedLong
    ? openHosts.length > 1
    : reserved.length < openHosts.length;
};

export interface IsolatedHostOptions {
  readonly task: JobTask;
  /** Hosts that accept new tasks, including those without free resources. */
  readonly openHosts: readonly HostState[];
  readonly placer: TaskPlacer;
  /** See TaskPlacer. */
  readonly mustPlace: boolean;
}

/**
 * Returns the allowed host with the fewest young runs, then with the fewest runs: there
 * a crash is attributed most reliably, and the fewest other runs are lost.
 */
export const pickIsolatedHost = ({
  task,
  openHosts,
  placer,
  mustPlace,
}: IsolatedHostOptions): HostState | undefined => {
  const ranked = openHosts
    .map((host) => ({
      host,
      young: countYoungRuns(host),
      runs: host.runs.size,
    }))
    .sort((a, b) => a.young - b.young || a.runs - b.runs);
  for (const { host } of ranked) {
    if (placer.pick(task, [host], mustPlace)) return host;
  }
  return undefined;
};

const countYoungRuns = ({ runs }: HostState): number =>
  [...runs.values()].filter((run) => !isSettled(run)).length;
