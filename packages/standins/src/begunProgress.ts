/** Progress of a job that has begun, and of which nothing else is known. */

import type { ProgressRecord } from "@rackspan/state";

export const BEGUN_PROGRESS: ProgressRecord = {
  state: "running",
  begun: true,
  endedAt: 0,
  done: {},
  failures: [],
  checkpoints: [],
  crashes: [],
  announced: [],
};
