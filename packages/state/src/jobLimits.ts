/** How large a job may be, for callers and for what the store keeps. */

import type { StepSpec } from "./jobModel.js";

export const JOB_LIMITS = {
  steps: 100,
  tasksPerStep: 5_000,
  /** What one leader can hold beside all other jobs: some 10 MB. */
  tasksPerJob: 20_000,
  repeats: 10_000,
} as const;

export const countTasks = (
  steps: readonly Pick<StepSpec, "taskCount">[],
): number => steps.reduce((sum, { taskCount }) => sum + taskCount, 0);

/** Whether each step waits for earlier ones only; else it would wait for ever. */
export const dependsOnEarlierSteps = (
  steps: readonly Pick<StepSpec, "after">[],
): boolean =>
  steps.every(({ after }, number) => after.every((before) => before < number));
