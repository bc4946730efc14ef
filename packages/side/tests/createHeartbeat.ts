/** Builds a heartbeat for a side's registry; tests specify only incarnation and sequence number. */

import { brand, type ServiceName, type WorkerInstance } from "@rackspan/common";
import type { WorkerHeartbeat } from "@rackspan/side";

export const createHeartbeat = (
  instance: string,
  sequence = 1,
): WorkerHeartbeat => ({
  worker: {
    instance: brand<WorkerInstance>(instance),
    service: brand<ServiceName>("kaigi"),
    labels: [],
    rack: "r1",
    milliCores: 16_000,
    memoryMiB: 64_000,
    accelerators: 0,
    draining: false,
    leavesInMs: undefined,
  },
  sequence,
});
