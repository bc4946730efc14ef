/** Counts the tasks that wait for hosts which have not reported since the takeover. */

import type { HostId, Monotonic } from "@rackspan/common";
import type { TakeoverGate } from "@rackspan/jobs";
import type { TrackedJob } from "./engineTypes.js";
import { knownPlacementOf } from "./PlacementLog.js";

export interface TakeoverWaits {
  /** Number of tasks that wait for at least one host. */
  readonly tasks: number;
  /** Those of them that may be on any unreported host. */
  readonly unknown: number;
  /** Number of the other tasks by the host that they wait for, most tasks first. */
  readonly byHost: readonly (readonly [HostId, number])[];
}

export const countTakeoverWaits = (
  jobs: Iterable<TrackedJob>,
  gate: TakeoverGate,
  now: Monotonic,
): TakeoverWaits => {
  const counts = new Map<HostId, number>();
  let tasks = 0;
  let unknown = 0;
  for (const { job, firstSeenAt } of jobs) {
    for (const { waiting } of job.steps) {
      for (const task of waiting) {
        const placement = knownPlacementOf(task);
        if (gate.mayStart(firstSeenAt, now, placement)) continue;
        tasks += 1;
        const host = placement?.host;
        if (host === undefined) unknown += 1;
        else counts.set(host, (counts.get(host) ?? 0) + 1);
      }
    }
  }
  const byHost = [...counts].sort(([, a], [, b]) => b - a);
  return { tasks, unknown, byHost };
};
