/** Chooses where a task that may crash its worker starts. */

import { isSettled, type HostState, type JobTask } from "@rackspan/jobs";
import type { HostEntry } from "./engineTypes.js";
import type { TaskPlacer } from "./taskPlacers.js";

/**
 * Whether one host more may be kept for a suspected task alone: after the loss of
 * a rack many tasks are suspected, and the others need hosts to start on. A task that
 * has waited for long leaves them one: with all hosts held, jobs that nobody
 * suspects would wait for as long as suspects come.
 *
 * @param open hosts of the service that take new tasks
 */
export const mayIsolate = (
  open: readonly HostState[],
  all: Iterable<HostEntry>,
  hasWaitedLong: boolean,
): boolean => {
  const [host] = open;
  if (!host) return false;
  const { service } = host.worker;
  const held = [...all].filter(
    ({ ledger }) => ledger.hasIsolatedRun && ledger.worker.service === service,
  );
  if (held.length === 0) return true;
  return hasWaitedLong ? open.length > 1 : held.length < open.length;
};

export interface IsolatedHostOptions {
  readonly task: JobTask;
  /** Hosts that take new tasks; those without room are among them. */
  readonly open: readonly HostState[];
  readonly placer: TaskPlacer;
  /** See TaskPlacer. */
  readonly mustPlace: boolean;
}

/**
 * The allowed host where the fewest runs have just begun, then where the fewest
 * are: its crash can be told from theirs, and takes the fewest along.
 */
export const pickIsolatedHost = ({
  task,
  open,
  placer,
  mustPlace,
}: IsolatedHostOptions): HostState | undefined => {
  const ranked = open
    .map((host) => ({ host, young: youngRuns(host), runs: host.runs.size }))
    .sort((a, b) => a.young - b.young || a.runs - b.runs);
  for (const { host } of ranked) {
    if (placer.pick(task, [host], mustPlace)) return host;
  }
  return undefined;
};

const youngRuns = ({ runs }: HostState): number =>
  [...runs.values()].filter((run) => !isSettled(run)).length;
