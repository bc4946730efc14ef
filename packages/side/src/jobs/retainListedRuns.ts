/** Limits the size of maps by run to the runs that are in progress. */

import { runKeyOf, type RunningTask } from "@rackspan/ports";

/** Removes the entries of runs that are no longer listed. */
export const retainListedRuns = (
  byRun: Map<string, unknown>,
  running: readonly RunningTask[],
): void => {
  const keys = new Set(running.map(runKeyOf));
  for (const key of byRun.keys()) if (!keys.has(key)) byRun.delete(key);
};
