/** Run times that were seen correct what callers guess of them. */

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

test("the tasks of a step are expected to take what those that are done took", () => {
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

test("a step of which nothing is done follows its queue a little", () => {
  const estimator = new RuntimeEstimator(true);
  estimator.recordRunTime(stepOf("a", 1_000), 3_000);
  const expectedMs = estimator.taskMs(stepOf("b", 1_000));
  expect(expectedMs).toBeGreaterThan(1_000);
  expect(expectedMs).toBeLessThan(1_200);
});

test("a step without an estimate is known once one of its tasks is done", () => {
  const estimator = new RuntimeEstimator(true);
  const step = stepOf("a", 0);
  estimator.recordRunTime(step, 700);
  expect(estimator.taskMs(step)).toEqual(700);
});

test("nothing that was seen changes an estimate where corrections are switched off", () => {
  const estimator = new RuntimeEstimator(false);
  const step = stepOf("a", 1_000);
  estimator.recordRunTime(step, 3_000);
  expect(estimator.taskMs(step)).toEqual(1_000);
});
