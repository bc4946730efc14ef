/** Progress record of a job that has started and has no other progress. */

import type { ProgressRecord } from "@rackspan/state";

export const STARTED_PROGRESS: ProgressRecord = {
  state: "running",
  begun: true,
  endedAt: 0,
  done: {},
  failures: [],
  checkpoints: [],
  crashes: [],
  announced: [],
};
