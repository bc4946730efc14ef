/** Order of jobs by utility when not all of them can meet their objectives. */

import { test } from "node:test";
import { expect } from "earl";
import { JobRun } from "@rackspan/jobs";
import type { JobTerms, StepSpec } from "@rackspan/state";
import { plainJob } from "@rackspan/standins";
import {
  RuntimeEstimator,
  stepOrders,
  type Candidate,
} from "@rackspan/scheduling";

const NOW = 1_000_000;
const demand = { milliCores: 1_000, memoryMiB: 100, accelerators: 0 };

interface JobOptions extends Partial<StepSpec> {
  /** How long ago the job was accepted, milliseconds. */
  readonly ageMs?: number;
  /** Number of its tasks that are placed. */
  readonly placed?: number;
  readonly terms?: Partial<JobTerms>;
}

const candidateOf = (
  id: string,
  { ageMs = 0, placed = 0, terms, ...step }: JobOptions,
): Candidate => {
  const spec = { demand, estimateMs: 1_000, ...step };
  const acceptedAt = NOW - ageMs;
  const job = new JobRun(plainJob({ id, acceptedAt, steps: [spec], terms }));
  const [first] = job.steps;
  if (!first) throw new Error("no step");
  for (const task of first.tasks.slice(0, placed)) job.markPlaced(task);
  return { job, step: first, isStarved: false };
};

const orderOf = (candidates: readonly Candidate[]): string[] => {
  const estimates = new RuntimeEstimator(true);
  const order = stepOrders.create("byWorth", { estimates });
  return order.sort(candidates, NOW).map(({ job }) => String(job.id));
};

test("a started step is completed before an equal one is started", () => {
  const started = candidateOf("begun", { taskCount: 20, placed: 8 });
  const fresh = candidateOf("fresh", { taskCount: 20 });
  expect(orderOf([fresh, started])).toEqual(["begun", "fresh"]);
});

test("a large step with nearly all tasks placed goes before a small one with none placed", () => {
  const large = candidateOf("large", { taskCount: 40, placed: 36 });
  const small = candidateOf("small", { taskCount: 5 });
  expect(orderOf([small, large])).toEqual(["large", "small"]);
});

test("among jobs that have not started the small one has more utility per work", () => {
  const large = candidateOf("large", { taskCount: 40 });
  const small = candidateOf("small", { taskCount: 5 });
  expect(orderOf([large, small])).toEqual(["small", "large"]);
});

test("a late job goes after equal ones that can be in time, and one without utility goes last", () => {
  const late = candidateOf("late", { taskCount: 10, ageMs: 2_000 });
  const useless = candidateOf("useless", { taskCount: 1, ageMs: 60_000 });
  const inTime = candidateOf("in-time", { taskCount: 10 });
  expect(orderOf([useless, late, inTime])).toEqual([
    "in-time",
    "late",
    "useless",
  ]);
});

test("a late job with little work left goes before a new one with far more work per utility", () => {
  const late = candidateOf("late", { taskCount: 20, placed: 19, ageMs: 2_000 });
  const fresh = candidateOf("fresh", { taskCount: 20 });
  expect(orderOf([fresh, late])).toEqual(["late", "fresh"]);
});

test("urgent queues and lasting steps go first regardless of utility", () => {
  const bulk = candidateOf("bulk", { taskCount: 1, terms: { priority: 2 } });
  const urgent = candidateOf("urgent", { taskCount: 50 });
  const lasting = candidateOf("lasting", { taskCount: 50, lasting: true });
  expect(orderOf([bulk, urgent, lasting])).toEqual([
    "lasting",
    "urgent",
    "bulk",
  ]);
});

// Small jobs have more utility per work, so they alone were started under lasting overload.
test("while small jobs keep being started, a large job goes first in its turn", () => {
  const order = stepOrders.create("byWorth", {
    estimates: new RuntimeEstimator(true),
  });
  const small = Array.from({ length: 30 }, (_, at) =>
    candidateOf(`small-${at}`, { taskCount: 5 }),
  );
  order.sort(small, NOW);
  for (const { job, step } of small)
    for (const task of step.tasks) job.markPlaced(task);
  const next = candidateOf("small", { taskCount: 5 });
  const large = candidateOf("large", { taskCount: 40 });
  const late = candidateOf("late", { taskCount: 40, ageMs: 60_000 });
  const sorted = order.sort([next, late, large], NOW);
  expect(sorted.map(({ job }) => String(job.id))).toEqual([
    "large",
    "small",
    "late",
  ]);
});

test("jobs without an estimate are sorted too", () => {
  const unknown = candidateOf("unknown", { estimateMs: 0 });
  const known = candidateOf("known", {});
  expect(orderOf([known, unknown]).sort()).toEqual(["known", "unknown"]);
});
