/** Describes tasks to their hosts, whose sides pace them accordingly. */

import type { JobTaskId } from "@rackspan/common";
import type { InterferenceProfile } from "@rackspan/protocol";
import type { JobTask } from "./JobTask.js";

/** A task's description as sent to its host. */
export interface TaskDescription {
  readonly task: JobTaskId;
  readonly nature: InterferenceProfile;
}

export const interferenceProfileOf = (task: JobTask): InterferenceProfile => {
  const { filling, tailTargetMs, lasting, image, demand } = task.step.spec;
  const isServing = lasting && tailTargetMs > 0;
  return {
    kind: filling ? "filling" : isServing ? "serving" : "plain",
    tailTargetMs,
    image,
    milliCores: demand.milliCores,
  };
};

export const describeTask = (task: JobTask): TaskDescription => ({
  task: task.id,
  nature: interferenceProfileOf(task),
});
