/**
 * Records of other writers in the topics of rackspan must not cancel
 * a job or add a host.
 */

import { test } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import {
  brand,
  Metrics,
  silentLogger,
  type HostId,
  type WorkerInstance,
} from "@rackspan/common";
import {
  decodeIndices,
  decodeLearned,
  decodeProgress,
  encodeCancel,
  encodeHost,
  encodeIndices,
  encodeJob,
  encodeProgress,
  JobView,
  type JobId,
  type ProgressRecord,
} from "@rackspan/state";
import { STARTED_PROGRESS, plainJob } from "@rackspan/standins";

const SEED = 20_000;
const RECORDS = 10_000;
const JOB = brand<JobId>("5c0e7a21d94b36f8");
const HOST = brand<HostId>("h1");
const INCARNATION = brand<WorkerInstance>("i-1");

const PROGRESS: ProgressRecord = {
  ...STARTED_PROGRESS,
  done: { "0.0": "0-2,5" },
};

const createView = (): JobView =>
  new JobView({ logger: silentLogger, metrics: new Metrics() });

const viewOfOneJob = (): JobView => {
  const view = createView();
  const job = plainJob({ id: JOB, acceptedAt: 0, steps: [{ taskCount: 9 }] });
  view.applyJobRecords([{ key: JOB, value: encodeJob(job) }]);
  view.applyProgressRecords([{ key: JOB, value: encodeProgress(PROGRESS) }]);
  view.applyHostRecords([{ key: HOST, value: encodeHost(INCARNATION) }]);
  return view;
};

/** Values that are valid in none of the topics. */
const foreign = fc.oneof(
  fc.uint8Array({ minLength: 1 }).map((bytes) => Buffer.from(bytes)),
  fc
    .oneof(
      fc.constantFrom<unknown>(null, 7, "text", [], [{}], true),
      fc.record({ at: fc.string(), instance: fc.nat(), done: fc.string() }),
      fc.record({ at: fc.constant(null), instance: fc.constant(null) }),
    )
    .map((value) => Buffer.from(JSON.stringify(value))),
);

test("records that cannot be read change nothing in the view", () => {
  const view = viewOfOneJob();
  const before = JSON.stringify([view.get(JOB), ...view.roster]);
  const keys = fc.constantFrom<string>(JOB, HOST, "other");
  fc.assert(
    fc.property(keys, foreign, (key, value) => {
      const records = [{ key, value }];
      view.applyJobRecords(records);
      view.applyCancelRecords(records);
      view.applyProgressRecords(records);
      view.applyHostRecords(records);
      expect(view.all().length).toEqual(1);
      expect(JSON.stringify([view.get(JOB), ...view.roster])).toEqual(before);
    }),
    { seed: SEED, numRuns: RECORDS },
  );
});

// A leader with little processor time writes several records of a job between two polls.
test("of several progress records of a job in one poll, only the newest is read", async () => {
  const metrics = new Metrics();
  const view = new JobView({ logger: silentLogger, metrics });
  const job = plainJob({ id: JOB, acceptedAt: 0, steps: [{ taskCount: 9 }] });
  view.applyJobRecords([{ key: JOB, value: encodeJob(job) }]);
  const completed = encodeProgress({ ...PROGRESS, state: "completed" });
  view.applyProgressRecords([
    { key: JOB, value: encodeProgress(PROGRESS) },
    { key: JOB, value: Buffer.from("{}") },
    { key: JOB, value: completed },
  ]);
  expect(view.stateOf(JOB)).toEqual("completed");
  expect(view.hasUnreadableProgress).toEqual(false);
  expect(await metrics.total("records_passed_over")).toEqual(0);
  view.applyProgressRecords([
    { key: JOB, value: completed },
    { key: JOB, value: Buffer.from("{}") },
  ]);
  expect(view.hasUnreadableProgress).toEqual(true);
});

test("a readable cancel takes effect after an unreadable one", () => {
  const view = viewOfOneJob();
  view.applyCancelRecords([{ key: JOB, value: Buffer.from("{}") }]);
  expect(view.stateOf(JOB)).toEqual("running");
  view.applyCancelRecords([{ key: JOB, value: encodeCancel(5) }]);
  expect(view.stateOf(JOB)).toEqual("cancelled");
});

test("a host recorded by an earlier version is in the roster for any incarnation", () => {
  const view = createView();
  view.applyHostRecords([{ key: HOST, value: Buffer.from("{}") }]);
  expect([...view.roster]).toEqual([[HOST, undefined]]);
});

test("progress with lists of tasks that no step can have is rejected", () => {
  const lists = ["0-999999999", "5-2", "0-4999,5000", "a", "1,,2", "-1", "1.5"];
  for (const list of lists) {
    const record = { ...PROGRESS, done: { "0.0": list } };
    expect(() => decodeProgress(JOB, encodeProgress(record))).toThrow();
  }
});

test("lists of task indices are unchanged after encoding and decoding", () => {
  fc.assert(
    fc.property(fc.uniqueArray(fc.nat({ max: 4_999 })), (indices) => {
      const list = encodeIndices(indices);
      const record = { ...PROGRESS, done: { "0.0": list } };
      const read = decodeProgress(JOB, encodeProgress(record));
      expect(decodeIndices(read.done["0.0"] ?? "")).toEqual(
        [...indices].sort((a, b) => a - b),
      );
    }),
    { seed: SEED },
  );
});

test("a job of a size that no caller may submit is rejected", () => {
  const view = createView();
  const sizes = [{ taskCount: 6_000 }, { taskCount: 1, after: [0] }];
  for (const [at, step] of sizes.entries()) {
    const id = `job-${at}`;
    const job = plainJob({ id, acceptedAt: 0, steps: [step] });
    view.applyJobRecords([{ key: id, value: encodeJob(job) }]);
  }
  expect(view.all()).toEqual([]);
});

test("learned values beyond any measurement are rejected", () => {
  const record = { kind: "estimates", writtenAt: 0, corrections: [["q", 800]] };
  const value = Buffer.from(JSON.stringify(record));
  expect(() => decodeLearned("estimates", value)).toThrow();
});
