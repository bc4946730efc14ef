/** Keeps maps by run from growing with runs that have ended. */

import { runKeyOf, type RunningTask } from "@rackspan/ports";

/** Drops what is kept of runs that are not listed any more. */
export const retainListedRuns = (
  byRun: Map<string, unknown>,
  running: readonly RunningTask[],
): void => {
  const keys = new Set(running.map(runKeyOf));
  for (const key of byRun.keys()) if (!keys.has(key)) byRun.delete(key);
};
