/**
 * The hosts on which the tasks of a job may run, as stored in its progress record: each
 * host is named once, and the indices of its tasks are stored as ranges.
 */

import type { HostId } from "@rackspan/common";
import {
  decodeIndices,
  encodeIndices,
  type StoredPlacements,
} from "@rackspan/state";
import type { JobRun } from "./JobRun.js";
import type { StepRun } from "./StepRun.js";

export const encodePlacements = (
  steps: readonly StepRun[],
): [string, Record<string, string>][] => {
  const byHost = new Map<HostId, Record<string, string>>();
  for (const step of steps) {
    for (const [host, indices] of indicesByHost(step)) {
      const byStep = byHost.get(host) ?? {};
      byStep[`${step.occurrence}.${step.number}`] = encodeIndices(indices);
      byHost.set(host, byStep);
    }
  }
  return [...byHost].map(([host, byStep]) => [host, byStep]);
};

const indicesByHost = ({ tasks }: StepRun): Map<HostId, number[]> => {
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
  placed: StoredPlacements,
): void => {
  for (const [host, byStep] of placed) {
    for (const [key, indices] of Object.entries(byStep)) {
      const [occurrence, step] = key.split(".").map(Number);
      if (occurrence === undefined || step === undefined) continue;
      for (const index of decodeIndices(indices)) {
        const task = job.task(occurrence, step, index);
        if (task && task.phase !== "done") {
          task.placedOn = host as unknown as HostId;
        }
      }
    }
  }
};
