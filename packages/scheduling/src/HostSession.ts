/** Port to the side of one host, as the engine gives orders through it. */

import type {
  Epoch,
  JobTaskId,
  RunNumber,
  WorkerInstance,
} from "@rackspan/common";
import type {
  HostCallResult,
  StartTaskCall,
  TaskNature,
} from "@rackspan/protocol";

export interface StopTaskCall {
  readonly instance: WorkerInstance;
  readonly epoch: Epoch;
  readonly task: JobTaskId;
  readonly run: RunNumber;
}

export interface HostSession {
  /** @throws LostAnswerError when the order may have arrived */
  startTask(call: StartTaskCall): Promise<HostCallResult>;
  /** @throws LostAnswerError when the order may have arrived */
  stopTask(call: StopTaskCall): Promise<HostCallResult>;
  acknowledge(instance: WorkerInstance, acknowledged: number): void;
  describe(
    tasks: readonly { readonly task: JobTaskId; readonly nature: TaskNature }[],
  ): void;
}
