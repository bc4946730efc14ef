/** A leader's order to start a plain task. */

import {
  brand,
  type Epoch,
  type JobTaskId,
  type RunNumber,
  type WorkerInstance,
  type WorkerTime,
} from "@rackspan/common";
import type { StartTaskCall } from "@rackspan/protocol";

export const START_CALL: StartTaskCall = {
  instance: brand<WorkerInstance>("w"),
  epoch: 1 as unknown as Epoch,
  task: brand<JobTaskId>("j.0.0.0"),
  run: 7 as unknown as RunNumber,
  spec: "",
  leaseUntil: 2_500 as unknown as WorkerTime,
  checkpoint: "",
  firstPercent: 100,
  nature: { kind: "plain", tailTargetMs: 0, image: "", milliCores: 100 },
};
