/**
 * The hosts on which the tasks of a job may run, as stored in its progress record: each
 * host is named once, and the indices of its tasks are stored as ranges.
 */

import type { HostId } from "@rackspan/common";
import { encodeIndices } from "@rackspan/state";
import type { JobRun } from "./JobRun.js";
import type { JobTask } from "./JobTask.js";
import { stepKeyOf, type TaskGroup } from "./taskProgress.js";

/** @returns `host 0.0:0-3,5 0.1:2` for each host */
export const encodePlacements = (groups: readonly TaskGroup[]): string[] => {
  const byHost = new Map<HostId, string>();
  for (const { step, tasks } of groups) {
    for (const [host, indices] of indicesByHost(tasks)) {
      const before = byHost.get(host) ?? host;
      const ofStep = `${stepKeyOf(step)}:${encodeIndices(indices)}`;
      byHost.set(host, `${before} ${ofStep}`);
    }
  }
  return [...byHost.values()];
};

const indicesByHost = (tasks: readonly JobTask[]): Map<HostId, number[]> => {
  const indices = new Map<HostId, number[]>();
  for (const { phase, placedOn, index } of tasks) {
    if (phase === "done" || placedOn === undefined) continue;
    const known = indices.get(placedOn);
    if (known) known.push(index);
    else indices.set(placedOn, [index]);
  }
  return indices;
};

/** Restores the last host of each task that the record names. */
export const restorePlacements = (
  job: JobRun,
  placed: readonly string[],
): void => {
  for (const ofHost of placed) {
    const end = ofHost.indexOf(" ");
    const host = ofHost.slice(0, end) as unknown as HostId;
    restoreTasks(job, host, ofHost, end + 1);
  }
};

/**
 * Reads the numbers one after the other, without intermediate lists: a new leader reads
 * the placements of all tasks of a site before its first start.
 */
const restoreTasks = (
  job: JobRun,
  host: HostId,
  text: string,
  from: number,
): void => {
  let occurrence = 0;
  let step = 0;
  let first = -1;
  let number = 0;
  const restoreRange = (): void => {
    const last = number;
    for (let at = first < 0 ? last : first; at <= last; at += 1) {
      const task = job.task(occurrence, step, at);
      if (!task) break;
      if (task.phase !== "done") task.restorePlacement(host);
    }
    first = -1;
  };
  for (let at = from; at < text.length; at += 1) {
    const char = text[at] as string;
    switch (char) {
      case ".":
        occurrence = number;
        break;
      case ":":
        step = number;
        break;
      case "-":
        first = number;
        break;
      case ",":
      case " ":
        restoreRange();
        break;
      default:
        number = 10 * number + (char.charCodeAt(0) - ZERO);
        continue;
    }
    number = 0;
  }
  restoreRange();
};

const ZERO = "0".charCodeAt(0);
