/** Size limits of jobs, for requests of callers and for stored records. */

import type { StepSpec } from "./jobModel.js";

export const JOB_LIMITS = {
  steps: 100,
  tasksPerStep: 5_000,
  /**
   * Limit of what one leader can hold in memory in addition to all
   * other jobs: about 10 MB.
   */
  tasksPerJob: 20_000,
  repeats: 10_000,
} as const;

export const countTasks = (
  steps: readonly Pick<StepSpec, "taskCount">[],
): number => steps.reduce((sum, { taskCount }) => sum + taskCount, 0);

/** Whether each step depends on earlier steps only; otherwise it would never start. */
export const dependsOnEarlierSteps = (
  steps: readonly Pick<StepSpec, "after">[],
): boolean =>
  steps.every(({ after }, number) => after.every((before) => before < number));
