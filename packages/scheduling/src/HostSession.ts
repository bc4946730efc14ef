/** Port to the side of one host, as the engine gives orders through it. */

import type { JobTaskId, WorkerInstance } from "@rackspan/common";
import type {
  HostCallResult,
  StartTaskCall,
  StopTaskCall,
  TaskNature,
} from "@rackspan/protocol";

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
