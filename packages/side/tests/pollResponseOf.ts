/** Builds a worker's response to a poll at that time of its clock, without ended runs. */

import type { WorkerTime } from "@rackspan/common";
import type { PollResponse, RunRef } from "@rackspan/ports";

export const pollResponseOf = (
  at: number,
  running: readonly RunRef[] = [],
): PollResponse => ({
  at: at as unknown as WorkerTime,
  running: running.map((ref) => ({
    ...ref,
    checkpoint: "",
    progressPercent: 1,
    reading: 0,
  })),
  ended: [],
  hasMoreEnds: false,
});
