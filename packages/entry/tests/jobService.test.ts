/** Queries and cancels of jobs that another entry has accepted. */

import { test } from "node:test";
import { expect } from "earl";
import { brand, ManualClock, type Monotonic } from "@rackspan/common";
import { encodeJob, TOPICS, type JobId, type QueueKey } from "@rackspan/state";
import { MemoryStore, plainJob } from "@rackspan/standins";
import { createJobService, createWriter } from "./createJobService.js";

const JOB = brand<JobId>("5c0e7a21d94b36f8");
const MISSING_JOB = brand<JobId>("0000000000000000");
/** So long that no regular poll happens within a test. */
const POLL_INTERVAL_MS = 60_000;

const setUp = async () => {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  const created = createJobService({
    clock,
    store,
    entry: "entry",
    pollIntervalMs: POLL_INTERVAL_MS,
  });
  const { jobService } = created;
  await clock.advance(10);
  const job = plainJob({ id: JOB, acceptedAt: clock.now() });
  const other = { clock, store, entry: "other-entry" };
  const otherWriter = createWriter(TOPICS.jobs, other);
  const persisted = otherWriter.write({
    key: JOB,
    value: encodeJob(job),
  }).persisted;
  await clock.advance(10);
  await persisted;
  const deadline = (): Monotonic => clock.monotonic() + 3_000;
  const stop = async (): Promise<void> => {
    const stopped = created.stop();
    await clock.advance(2_000);
    await stopped;
  };
  return { clock, store, jobService, job, deadline, stop };
};

test("a job that another entry accepted a moment ago is found at once", async () => {
  const { clock, jobService, job, deadline, stop } = await setUp();
  const answer = jobService.state(job.spec.queue, JOB, deadline());
  await clock.advance(20);
  expect(await answer).toEqual({ kind: "known", state: "queued" });
  await stop();
});

test("a job that another entry accepted a moment ago can be cancelled", async () => {
  const { clock, store, jobService, job, deadline, stop } = await setUp();
  const answer = jobService.cancel(job.spec.queue, JOB, deadline());
  await clock.advance(20);
  expect(await answer).toEqual({ kind: "accepted" });
  expect(store.recordsOf(TOPICS.cancels).length).toEqual(1);
  await stop();
});

test("no-such-job is returned only after the store has been read", async () => {
  const { clock, store, jobService, job, deadline, stop } = await setUp();
  const answer = jobService.state(job.spec.queue, MISSING_JOB, deadline());
  await clock.advance(20);
  expect(await answer).toEqual({ kind: "no-such-job" });
  store.fault = "refuses";
  await clock.advance(3_000);
  const later = jobService.state(job.spec.queue, MISSING_JOB, deadline());
  await clock.advance(500);
  expect((await later).kind).toEqual("refused");
  await stop();
});

test("a cancel returns no-such-job only if the store has been read since it arrived", async () => {
  // A view that is some seconds old does not prove that a job does not exist.
  const { clock, store, jobService, job, deadline, stop } = await setUp();
  store.fault = "refuses";
  const cancel = jobService.cancel(job.spec.queue, JOB, deadline());
  await clock.advance(500);
  expect((await cancel).kind).toEqual("refused");
  store.fault = "none";
  await clock.advance(500);
  const again = jobService.cancel(job.spec.queue, JOB, deadline());
  await clock.advance(200);
  expect(await again).toEqual({ kind: "accepted" });
  await stop();
});

test("a cancel of a job that is not in the store returns no-such-job", async () => {
  const { clock, jobService, job, deadline, stop } = await setUp();
  const cancel = jobService.cancel(job.spec.queue, MISSING_JOB, deadline());
  await clock.advance(200);
  expect(await cancel).toEqual({ kind: "no-such-job" });
  await stop();
});

test("a cancel that arrives before its job is persisted", async () => {
  // The record of the job may be persisted after its cancel has arrived.
  const { clock, store, jobService, job, deadline, stop } = await setUp();
  const cancel = jobService.cancel(job.spec.queue, MISSING_JOB, deadline());
  await clock.advance(200);
  expect(await cancel).toEqual({ kind: "no-such-job" });
  const keys = () => store.recordsOf(TOPICS.cancels).map(({ key }) => key);
  expect(keys()).toEqual([MISSING_JOB]);
  const again = jobService.cancel(job.spec.queue, MISSING_JOB, deadline());
  await clock.advance(200);
  expect(await again).toEqual({ kind: "no-such-job" });
  expect(keys()).toEqual([MISSING_JOB]);
  await stop();
});

test("a cancel through a queue other than the job's has no effect", async () => {
  const { clock, store, jobService, deadline, stop } = await setUp();
  const other = brand<QueueKey>("calls.example/other/");
  const cancel = jobService.cancel(other, JOB, deadline());
  await clock.advance(200);
  expect(await cancel).toEqual({ kind: "no-such-job" });
  expect(store.recordsOf(TOPICS.cancels)).toEqual([]);
  await stop();
});

// It was refused with the advice to come back, after the caller's whole time.
test("a job whose record the store can never accept is rejected at once, with the reason", async () => {
  const { clock, store, jobService, deadline, stop } = await setUp();
  const { spec, terms } = plainJob({
    id: MISSING_JOB,
    acceptedAt: clock.now(),
    steps: [{ after: [] }, { after: Array<number>(150_000).fill(0) }],
  });
  const queue = {
    ...terms,
    key: spec.queue,
    name: "queue",
    hostName: "calls.example",
    pathPrefix: "/minutes/",
    permitRule: undefined,
  };
  const appends = store.appends;
  const outcome = await jobService.submit(queue, spec, deadline());
  expect(outcome.kind).toEqual("rejected");
  const reason = "reason" in outcome ? outcome.reason : "";
  expect(reason.includes("the store accepts 262144")).toEqual(true);
  expect(store.appends).toEqual(appends);
  await stop();
});
