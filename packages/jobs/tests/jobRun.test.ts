import { test } from "node:test";
import { expect } from "earl";
import { brand, type RunNumber } from "@rackspan/common";
import { JobRun } from "@rackspan/jobs";
import { plainJob } from "@rackspan/standins";

const FIRST_AT = 10_000;
const INTERVAL_MS = 1_000;
const REPEAT = { count: 4, firstAt: FIRST_AT, intervalMs: INTERVAL_MS };

const repeatingJob = () =>
  new JobRun(plainJob({ id: "j", acceptedAt: 0, repeat: REPEAT }));

const runnableAt = (job: JobRun, now: number): number[] =>
  job.runnableSteps(now).map(({ occurrence }) => occurrence);

const finish = (job: JobRun, occurrence: number): void => {
  const task = job.task(occurrence, 0, 0);
  if (task) job.recordEnd(task, brand<RunNumber>(1), "done", "");
};

test("no occurrence is runnable before it is due", () => {
  const job = repeatingJob();
  expect(runnableAt(job, FIRST_AT - 1)).toEqual([]);
  expect(runnableAt(job, FIRST_AT)).toEqual([0]);
  expect(runnableAt(job, FIRST_AT + 2 * INTERVAL_MS)).toEqual([0, 1, 2]);
});

test("occurrences that complete out of order leave the others runnable", () => {
  const job = repeatingJob();
  const late = FIRST_AT + 3 * INTERVAL_MS;
  runnableAt(job, late);
  finish(job, 1);
  expect(runnableAt(job, late)).toEqual([0, 2, 3]);
  finish(job, 0);
  expect(runnableAt(job, late)).toEqual([2, 3]);
  finish(job, 3);
  finish(job, 2);
  expect(runnableAt(job, late)).toEqual([]);
  expect(job.isComplete).toEqual(true);
});

test("the next due time follows the clock, and there is none after the last occurrence", () => {
  const job = repeatingJob();
  expect(job.nextDueAt(0)).toEqual(FIRST_AT);
  expect(job.nextDueAt(FIRST_AT)).toEqual(FIRST_AT + INTERVAL_MS);
  expect(job.nextDueAt(FIRST_AT + INTERVAL_MS + 1)).toEqual(
    FIRST_AT + 2 * INTERVAL_MS,
  );
  expect(job.nextDueAt(FIRST_AT + 3 * INTERVAL_MS)).toEqual(undefined);
  const once = new JobRun(plainJob({ id: "k", acceptedAt: 0 }));
  expect(once.nextDueAt(0)).toEqual(undefined);
});
