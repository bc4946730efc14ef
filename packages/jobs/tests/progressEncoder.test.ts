/** Records of the progress of jobs that do not fit into one record. */

import { test } from "node:test";
import { expect } from "earl";
import {
  brand,
  ManualClock,
  Metrics,
  silentLogger,
  type HostId,
  type RunNumber,
} from "@rackspan/common";
import { JobRun, ProgressJournal, restorePlacements } from "@rackspan/jobs";
import {
  DEFAULT_RECORD_LIMITS,
  recordBytes,
  type KeyedRecord,
} from "@rackspan/ports";
import {
  encodeProgress,
  isFinalState,
  JOB_LIMITS,
  JobView,
  TopicWriter,
  TOPICS,
  type AcceptedJob,
  type JobId,
} from "@rackspan/state";
import { MemoryStore, plainJob } from "@rackspan/standins";

const JOB = "5c0e7a21d94b36f8";
const CHECKPOINT = "00000bb87a21d94b";
const RUN = brand<RunNumber>(1_048_577);
const HOST = brand<HostId>("kaigi-01");
const TASKS_PER_STEP = JOB_LIMITS.tasksPerStep;
const STEPS_OF_MANY = 6;
const STEPS = JOB_LIMITS.tasksPerJob / TASKS_PER_STEP;

const largestJob = (): AcceptedJob =>
  plainJob({
    id: JOB,
    acceptedAt: 0,
    steps: Array.from({ length: STEPS }, () => ({
      taskCount: TASKS_PER_STEP,
      checkpointing: true,
    })),
  });

/** Gives every second task a checkpoint, a failed run, a lost run and a host; ends the others. */
const work = (job: JobRun): void => {
  job.placementEpoch = 1;
  for (const { tasks } of job.steps) {
    for (const task of tasks) {
      if (task.index % 2 === 0) {
        job.recordEnd(task, RUN, "done", "");
        continue;
      }
      job.markPlaced(task);
      task.placedOn = HOST;
      job.recordEnd(task, RUN, "failed", CHECKPOINT);
      task.crashLog.record(RUN + 1, "unanswered");
    }
  }
};

const take = (job: JobRun, limits = DEFAULT_RECORD_LIMITS): KeyedRecord[] =>
  job.takeRecords(limits, silentLogger);

/** What the next leader knows after it has read the records. */
const restored = (
  accepted: AcceptedJob,
  ...written: readonly (readonly KeyedRecord[])[]
): JobRun => {
  const view = new JobView({ logger: silentLogger, metrics: new Metrics() });
  view.addAccepted(accepted);
  for (const records of written) view.applyProgressRecords(records);
  const progress = view.get(brand<JobId>(JOB))?.progress;
  const job = new JobRun(accepted, progress);
  if (progress?.placed) restorePlacements(job, progress.placed);
  job.placementEpoch = progress?.placedEpoch;
  return job;
};

const largest = (records: readonly KeyedRecord[]): number =>
  Math.max(...records.map(recordBytes));

// One record of such a job was refused for its size, and everything behind it waited.
test("the progress of the largest job fits into records that the store accepts", () => {
  const accepted = largestJob();
  const job = new JobRun(accepted);
  work(job);
  const records = take(job);
  expect(largest(records) <= DEFAULT_RECORD_LIMITS.recordBytes).toEqual(true);
  expect(
    recordBytes({ key: JOB, value: encodeProgress(job.toRecord()) }) >
      DEFAULT_RECORD_LIMITS.recordBytes,
  ).toEqual(true);
  expect(restored(accepted, records).toRecord()).toEqual(job.toRecord());
});

test("a change of one task of a large job is written without the other tasks", () => {
  const accepted = largestJob();
  const job = new JobRun(accepted);
  work(job);
  const before = take(job);
  const task = job.task(0, 1, 1);
  if (task) job.recordEnd(task, RUN, "done", "");
  const records = take(job);
  expect(records.map(({ key }) => key)).toEqual([`${JOB}/0.1.0-127`, JOB]);
  expect(restored(accepted, before, records).toRecord()).toEqual(
    job.toRecord(),
  );
});

test("a new leader writes only what has changed since the records that it has read", () => {
  const accepted = largestJob();
  const job = new JobRun(accepted);
  work(job);
  const next = restored(accepted, take(job));
  expect(take(next).map(({ key }) => key)).toEqual([JOB]);
});

test("a large record of an earlier version keeps its progress", () => {
  const accepted = largestJob();
  const job = new JobRun(accepted);
  work(job);
  const value = encodeProgress(job.toRecord());
  const next = restored(accepted, [{ key: JOB, value }]);
  expect(next.toRecord()).toEqual(job.toRecord());
  const records = take(next);
  expect(largest(records) <= DEFAULT_RECORD_LIMITS.recordBytes).toEqual(true);
  const last = restored(accepted, [{ key: JOB, value }], records);
  expect(last.toRecord()).toEqual(job.toRecord());
});

test("the records of a job with many occurrences stay small", () => {
  const count = JOB_LIMITS.repeats;
  const accepted = plainJob({
    id: JOB,
    acceptedAt: 0,
    steps: Array.from({ length: STEPS_OF_MANY }, () => ({})),
    repeat: { count, firstAt: 0, intervalMs: 1 },
  });
  const job = new JobRun(accepted);
  // No two of them are neighbours, so their numbers take as much room as possible.
  for (let number = 0; number < count; number += 2) {
    for (let step = 0; step < STEPS_OF_MANY; step += 1) {
      const task = job.task(number, step, 0);
      if (task) job.recordEnd(task, RUN, "done", "");
    }
  }
  const records = take(job);
  expect(largest(records) <= DEFAULT_RECORD_LIMITS.recordBytes).toEqual(true);
  const next = restored(accepted, records);
  const isDone = (run: JobRun): boolean[] =>
    Array.from({ length: count }, (_, number) => run.isOccurrenceDone(number));
  expect(isDone(next)).toEqual(isDone(job));
});

test("the segments of an ended job are deleted, and its state remains", () => {
  const accepted = largestJob();
  const job = new JobRun(accepted);
  work(job);
  const before = take(job);
  job.end("cancelled", 5);
  const records = take(job);
  const keys = new Set([...before, ...records].map(({ key }) => key));
  const deleted = records.filter(({ value }) => value === undefined);
  expect(deleted.length).toEqual(keys.size - 1);
  const next = restored(accepted, before, records);
  expect(isFinalState(next.state)).toEqual(true);
  expect(next.endedAt).toEqual(5);
});

test("tasks with long failure histories get segments of their own", () => {
  const limits = { recordBytes: 2_048, callBytes: 8_192 };
  const accepted = plainJob({
    id: JOB,
    acceptedAt: 0,
    steps: [{ taskCount: 64 }],
  });
  const job = new JobRun(accepted);
  for (const { tasks } of job.steps) {
    for (const task of tasks)
      for (let run = 0; run < 60; run += 1) task.recordFailure(RUN + run);
  }
  const records = take(job, limits);
  expect(largest(records) <= limits.recordBytes).toEqual(true);
  const next = restored(accepted, records);
  expect(next.toRecord()).toEqual(job.toRecord());
  // Ranges that are not those of a new leader are replaced, not kept beside its own.
  const again = restored(accepted, records, take(next, limits));
  expect(again.toRecord()).toEqual(job.toRecord());
});

test("a checkpoint that no record can hold is left out", () => {
  const limits = { recordBytes: 1_024, callBytes: 8_192 };
  const accepted = plainJob({ id: JOB, acceptedAt: 0 });
  const job = new JobRun(accepted);
  const task = job.task(0, 0, 0);
  if (task) job.recordEnd(task, RUN, "failed", "x".repeat(2_000));
  const records = take(job, limits);
  expect(largest(records) <= limits.recordBytes).toEqual(true);
  const failed = restored(accepted, records).task(0, 0, 0)?.failedRuns;
  expect([...(failed ?? [])]).toEqual([Number(RUN)]);
});

// The store may accept less than it states; progress that comes later may fit.
test("a job whose records are rejected holds up no other job, and is written again", async () => {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  const writer = new TopicWriter({
    topic: TOPICS.progress,
    store,
    clock,
    logger: silentLogger,
    producer: "leader",
    epoch: 1,
    batchWindowMs: 0,
    retriesRefusedBatches: true,
  });
  const journal = new ProgressJournal({
    writer,
    clock,
    logger: silentLogger,
    batchWindowMs: 5,
  });
  const job = new JobRun(largestJob());
  work(job);
  const other = new JobRun(plainJob({ id: "other", acceptedAt: 0 }));
  store.acceptedLimits = { recordBytes: 1_024, callBytes: 1_000_000 };
  const rejected = journal.persist(job).catch(() => "rejected");
  const persisted = journal.persist(other);
  await clock.advance(100);
  await persisted;
  expect(await rejected).toEqual("rejected");
  store.acceptedLimits = undefined;
  const flushed = journal.flushed(job);
  await clock.advance(2_000);
  await flushed;
  const keys = store.recordsOf(TOPICS.progress).map(({ key }) => key);
  expect(keys.filter((key) => key === JOB).length >= 1).toEqual(true);
});
