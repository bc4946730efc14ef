/** Order of bulk work by what is expected to end in time. */

import { test } from "node:test";
import { expect } from "earl";
import { ManualClock } from "@rackspan/common";
import { JobRun } from "@rackspan/jobs";
import type { JobTerms, StepSpec } from "@rackspan/state";
import { plainJob } from "@rackspan/standins";
import {
  CompletionRate,
  RuntimeEstimator,
  stepOrders,
  type Candidate,
} from "@rackspan/scheduling";

const NOW = 1_000_000;
const BULK_PRIORITY = 2;
const demand = { milliCores: 1_000, memoryMiB: 100, accelerators: 0 };

interface JobOptions extends Partial<StepSpec> {
  readonly ageMs?: number;
  /** Number of its tasks that are placed. */
  readonly placed?: number;
  readonly terms?: Partial<JobTerms>;
}

const candidateOf = (
  id: string,
  { ageMs = 0, placed = 0, terms, ...step }: JobOptions,
): Candidate => {
  const steps = [{ demand, estimateMs: 1_000, filling: true, ...step }];
  const bulk = { priority: BULK_PRIORITY, targetLatencyMs: 1_000, ...terms };
  const acceptedAt = NOW - ageMs;
  const job = new JobRun(plainJob({ id, acceptedAt, steps, terms: bulk }));
  const [first] = job.steps;
  if (!first) throw new Error("no step");
  for (const task of first.tasks.slice(0, placed)) job.markPlaced(task);
  return { job, step: first, isStarved: false };
};

/** @param rate core-milliseconds done per millisecond */
const rateOf = async (rate: number): Promise<CompletionRate> => {
  const clock = new ManualClock();
  const completionRate = new CompletionRate(clock);
  for (let at = 0; at < 5_000; at += 100) {
    completionRate.record(BULK_PRIORITY, 100 * rate);
    await clock.advance(100);
  }
  return completionRate;
};

const orderOf = async (
  candidates: readonly Candidate[],
  rate?: number,
  estimates = new RuntimeEstimator(true),
): Promise<string[]> => {
  const order = stepOrders.create("byCompletion", {
    estimates,
    completionRate: rate === undefined ? undefined : await rateOf(rate),
  });
  return order.sort(candidates, NOW).map(({ job }) => String(job.id));
};

test("the job with the least slack goes first while the measured rate suffices for all", async () => {
  const small = candidateOf("small", { taskCount: 2 });
  const tight = candidateOf("tight", { taskCount: 20, ageMs: 1_500 });
  expect(await orderOf([small, tight], 1_000)).toEqual(["tight", "small"]);
});

test("without enough capacity for all, utility per work decides", async () => {
  const small = candidateOf("small", { taskCount: 2 });
  const tight = candidateOf("tight", { taskCount: 20, ageMs: 1_500 });
  expect(await orderOf([tight, small], 12)).toEqual(["small", "tight"]);
});

test("a backlog that takes longer than the objective lets started jobs precede denser new ones", async () => {
  const started = candidateOf("started", { taskCount: 40, placed: 1 });
  const fresh = candidateOf("fresh", { taskCount: 2 });
  expect(await orderOf([fresh, started], 15)).toEqual(["fresh", "started"]);
  expect(await orderOf([fresh, started], 2)).toEqual(["started", "fresh"]);
});

test("a started job that can no longer end in time does not precede new ones", async () => {
  const started = candidateOf("started", {
    taskCount: 40,
    placed: 1,
    ageMs: 5_000,
  });
  const fresh = candidateOf("fresh", { taskCount: 2 });
  expect(await orderOf([started, fresh], 2)).toEqual(["fresh", "started"]);
});

test("a worthless job goes last and stays in the order", async () => {
  const worthless = candidateOf("worthless", { taskCount: 1, ageMs: 60_000 });
  const large = candidateOf("large", { taskCount: 60 });
  expect(await orderOf([worthless, large], 2)).toEqual(["large", "worthless"]);
  expect(await orderOf([worthless, large])).toEqual(["large", "worthless"]);
});

test("urgent and lasting work keeps its positions", async () => {
  const urgent = { filling: false, terms: { priority: 0 } };
  const candidates = [
    candidateOf("bulk", { taskCount: 1 }),
    candidateOf("urgent-large", { ...urgent, taskCount: 50 }),
    candidateOf("lasting", { ...urgent, lasting: true }),
    candidateOf("urgent-small", { ...urgent, taskCount: 5 }),
  ];
  const expected = ["lasting", "urgent-small", "urgent-large", "bulk"];
  expect(await orderOf(candidates)).toEqual(expected);
  expect(await orderOf(candidates, 10)).toEqual(expected);
});

test("a learned tail lowers what a job of many tasks is expected to earn", async () => {
  const estimates = new RuntimeEstimator(true);
  // One task in ten takes seven times as long as the others of its step.
  for (let number = 0; number < 20; number += 1) {
    const { step } = candidateOf(`past-${number}`, { taskCount: 10 });
    for (let task = 0; task < 9; task += 1)
      estimates.recordRunTime(step, 1_000);
    estimates.recordRunTime(step, 7_000);
  }
  const many = candidateOf("many", { taskCount: 30, placed: 25 });
  const few = candidateOf("few", { taskCount: 2 });
  expect(await orderOf([many, few], 1)).toEqual(["many", "few"]);
  expect(await orderOf([many, few], 1, estimates)).toEqual(["few", "many"]);
});
