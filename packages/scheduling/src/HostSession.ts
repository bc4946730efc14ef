/** Port to the side of one host, through which the engine sends orders. */

import type { WorkerInstance } from "@rackspan/common";
import type { TaskDescription } from "@rackspan/jobs";
import type {
  HostCallResult,
  StartTaskCall,
  StopTaskCall,
} from "@rackspan/protocol";

export interface HostSession {
  /** @throws LostAnswerError when the order may have arrived */
  startTask(call: StartTaskCall): Promise<HostCallResult>;
  /** @throws LostAnswerError when the order may have arrived */
  stopTask(call: StopTaskCall): Promise<HostCallResult>;
  acknowledge(instance: WorkerInstance, acknowledged: number): void;
  /**
   * Sends the side the descriptions of the tasks on its host, which it needs to pace
   * them.
   */
  describe(tasks: readonly TaskDescription[]): void;
}
