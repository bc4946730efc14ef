/** Observed run times correct the callers' estimates. */

import { test } from "node:test";
import { expect } from "earl";
import { JobRun, type StepRun } from "@rackspan/jobs";
import { RuntimeEstimator } from "@rackspan/scheduling";
import { plainJob } from "@rackspan/standins";

const stepOf = (id: string, estimateMs: number): StepRun => {
  const steps = [{ taskCount: 4, estimateMs }];
  const job = new JobRun(plainJob({ id, acceptedAt: 0, steps }));
  const [step] = job.steps;
  if (!step) throw new Error("no step");
  return step;
};

test("the expected duration of a step's tasks is the mean of the completed ones", () => {
  const estimator = new RuntimeEstimator(true);
  const step = stepOf("a", 1_000);
  expect(estimator.taskMs(step)).toEqual(1_000);
  estimator.recordRunTime(step, 2_900);
  estimator.recordRunTime(step, 3_100);
  expect(estimator.taskMs(step)).toEqual(3_000);
  expect(estimator.remainingWork(step.job)).toEqual(
    estimator.totalWork(step.job),
  );
});

test("a step without completed tasks is corrected a little by other steps of its queue", () => {
  const estimator = new RuntimeEstimator(true);
  estimator.recordRunTime(stepOf("a", 1_000), 3_000);
  const expectedMs = estimator.taskMs(stepOf("b", 1_000));
  expect(expectedMs).toBeGreaterThan(1_000);
  expect(expectedMs).toBeLessThan(1_200);
});

test("a step without an estimate gets one from its first completed task", () => {
  const estimator = new RuntimeEstimator(true);
  const step = stepOf("a", 0);
  estimator.recordRunTime(step, 700);
  expect(estimator.taskMs(step)).toEqual(700);
});

test("observed run times do not change an estimate if corrections are disabled", () => {
  const estimator = new RuntimeEstimator(false);
  const step = stepOf("a", 1_000);
  estimator.recordRunTime(step, 3_000);
  expect(estimator.taskMs(step)).toEqual(1_000);
});
