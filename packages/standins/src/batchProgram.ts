/**
 * A batch job that executes numbered steps and can resume from a checkpoint.
 * Arguments: `steps`, `stepMs`, `failAt` (step at which it always fails),
 * `failOnce` (step at which the first run fails).
 */

import { numberArg, type Program } from "./programTypes.js";

const CHECKPOINT_PATTERN = /^step=(\d+)$/;

const stepFrom = (checkpoint: string | undefined): number =>
  Number(CHECKPOINT_PATTERN.exec(checkpoint ?? "")?.[1] ?? 0);

export const batchProgram: Program = async (context) => {
  const { args, unit, tasks, onEnd } = context;
  const steps = numberArg(args, "steps", 10);
  const failAt = numberArg(args, "failAt", -1);
  const failOnce = numberArg(args, "failOnce", -1);
  const resumedStep = stepFrom(context.checkpoint);
  let step = resumedStep;
  const stepMs = numberArg(args, "stepMs", 20);
  let share = 1;
  let timer: NodeJS.Timeout;
  const doStep = (): void => {
    const failsNow =
      step === failAt ||
      (step === failOnce && !tasks.stepCountsOf(unit).has(step));
    if (failsNow || step >= steps) {
      if (step === failOnce) tasks.recordStep(unit, step);
      onEnd(failsNow ? "failed" : "succeeded", `step ${step}`);
      return;
    }
    tasks.recordStep(unit, step);
    step += 1;
    timer = setTimeout(doStep, stepMs / share);
  };
  timer = setTimeout(doStep, stepMs);
  return {
    kill: () => clearTimeout(timer),
    throttle: (limit) => (share = limit),
    checkpoint: () => `step=${step}`,
  };
};
