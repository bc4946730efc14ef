/** What the store keeps of the progress of tasks. */

import { encodeIndices, type TaskProgress } from "@rackspan/state";
import type { JobTask } from "./JobTask.js";
import { encodePlacements } from "./placements.js";
import type { StepRun } from "./StepRun.js";

/** Tasks of one step. */
export interface TaskGroup {
  readonly step: StepRun;
  readonly tasks: readonly JobTask[];
}

export const stepKeyOf = ({ occurrence, number }: StepRun): string =>
  `${occurrence}.${number}`;

/** @param hasPlacements whether it is known for each task on which host it may run */
export const progressOf = (
  groups: readonly TaskGroup[],
  hasPlacements: boolean,
): TaskProgress => {
  const done: TaskProgress["done"] = {};
  const failures: TaskProgress["failures"] = [];
  const checkpoints: TaskProgress["checkpoints"] = [];
  const crashes: TaskProgress["crashes"] = [];
  const announced: TaskProgress["announced"] = [];
  for (const { step, tasks } of groups) {
    const stepKey = stepKeyOf(step);
    const doneIndices: number[] = [];
    for (const task of tasks) {
      if (task.phase === "done") {
        doneIndices.push(task.index);
        continue;
      }
      const key = `${stepKey}.${task.index}`;
      if (task.failedRuns.size > 0) failures.push([key, [...task.failedRuns]]);
      if (task.checkpoint) checkpoints.push([key, task.checkpoint]);
      if (!task.crashLog.isEmpty) crashes.push([key, task.crashLog.entries]);
      if (task.writeAheadRun !== undefined)
        announced.push([key, task.writeAheadRun]);
    }
    if (doneIndices.length > 0) done[stepKey] = encodeIndices(doneIndices);
  }
  const progress = { done, failures, checkpoints, crashes, announced };
  return hasPlacements
    ? { ...progress, placed: encodePlacements(groups) }
    : progress;
};
