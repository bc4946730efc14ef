/** What a worker lists at that time of its clock; none of its runs has ended. */

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
