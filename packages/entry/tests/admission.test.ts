/** Refusals because of overload, which must be true and must not hit accepted jobs. */

import { test } from "node:test";
import { expect } from "earl";
import { brand, ManualClock, sleep, type ServiceName } from "@rackspan/common";
import {
  encodeJob,
  encodeLoadSummary,
  PROGRESS_KEYS,
  TOPICS,
  type QueueSpec,
} from "@rackspan/state";
import { MemoryStore, plainJob } from "@rackspan/standins";
import { createJobService, createWriter } from "./createJobService.js";

const SERVICE = brand<ServiceName>("kaigi");
const NO_ROOM = { freeMilliCores: 0, largestMilliCores: 0 };
const JOB = "00000000000000aa";

const setUp = async (refusesHopeless = true) => {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  const entry = { clock, store, entry: "entry", pollIntervalMs: 60_000 };
  const created = createJobService({ ...entry, refusesHopeless });
  const { jobService, summaries } = created;
  const { spec, terms } = plainJob({ id: JOB, acceptedAt: 0 });
  const queue = { ...terms, key: spec.queue } as unknown as QueueSpec;
  await clock.advance(10);
  /** A leader says that the hosts are full and an hour of work is pending. */
  const publish = (): void => {
    const value = encodeLoadSummary({
      epoch: 1,
      writtenAt: clock.now(),
      services: [
        {
          service: SERVICE,
          priorities: [
            {
              priority: 0,
              plain: NO_ROOM,
              filling: NO_ROOM,
              pending: [[0, 3_600_000]],
              ratePerMs: 1,
              isSaturated: true,
            },
          ],
        },
      ],
      queues: [],
    });
    summaries.applyProgressRecords([{ key: PROGRESS_KEYS.load, value }]);
  };
  publish();
  await clock.advance(100);
  publish();
  const submit = async (id = JOB, waitMs = 1_000) => {
    const job = plainJob({ id, acceptedAt: clock.now() });
    const deadline = clock.monotonic() + 3_000;
    const outcome = jobService.submit(queue, job.spec, deadline);
    await clock.advance(waitMs);
    return outcome;
  };
  const stop = async (): Promise<void> => {
    store.fault = "none";
    const stopped = created.stop();
    await clock.advance(10_000);
    await stopped;
  };
  const { metrics } = created;
  const deadline = () => clock.monotonic() + 3_000;
  const request = () => jobService.submit(queue, spec, deadline());
  return { clock, store, submit, request, publish, stop, metrics };
};

test("a hopeless job is refused because of overload, and nothing of it is stored", async () => {
  const { store, submit, stop, metrics } = await setUp();
  const outcome = await submit();
  expect(outcome.kind).toEqual("refused");
  expect("cause" in outcome && outcome.cause).toEqual("overload");
  expect("retryAfterMs" in outcome && outcome.retryAfterMs >= 1_000).toEqual(
    true,
  );
  expect(store.recordsOf(TOPICS.jobs)).toEqual([]);
  const counted = await metrics.values("admission_decisions");
  expect(counted.map(({ labels }) => labels)).toEqual([
    { outcome: "refuse", reason: "hopeless", priority: "0" },
  ]);
  await stop();
});

test("with the setting off the same job is accepted", async () => {
  const { submit, stop, metrics } = await setUp(false);
  expect((await submit()).kind).toEqual("accepted");
  expect(await metrics.total("admission_decisions")).toEqual(0);
  await stop();
});

// A refusal states that the job never runs.
test("a job that another entry accepted a moment ago is not refused", async () => {
  const { clock, store, submit, stop } = await setUp();
  const other = createWriter(TOPICS.jobs, { clock, store, entry: "other" });
  const value = encodeJob(plainJob({ id: JOB, acceptedAt: clock.now() }));
  const { persisted } = other.write({ key: JOB, value });
  await clock.advance(10);
  await persisted;
  expect((await submit()).kind).toEqual("accepted");
  expect(store.recordsOf(TOPICS.jobs).length).toEqual(1);
  await stop();
});

test("a job whose first submission has an unknown outcome is not refused", async () => {
  const { clock, store, submit, publish, stop } = await setUp();
  store.fault = "silent";
  // The store cannot be asked whether the job exists, so the job is not refused.
  expect((await submit(JOB, 3_100)).kind).toEqual("unknown");
  store.fault = "none";
  await clock.advance(3_000);
  publish();
  await clock.advance(100);
  publish();
  expect((await submit()).kind).toEqual("accepted");
  expect(store.recordsOf(TOPICS.jobs).length).toEqual(1);
  await stop();
});

test("a job whose record is being written is not refused", async () => {
  const { clock, store, request, publish, stop } = await setUp();
  // The summary is too old, so the first submission is accepted and written.
  await clock.advance(2_100);
  const append = store.append.bind(store);
  store.append = async (req) => {
    req.onSending?.();
    await sleep(clock, 500);
    return append(req);
  };
  const first = request();
  await clock.advance(50);
  publish();
  await clock.advance(100);
  publish();
  // The caller has lost its connection and repeats the submission.
  const second = request();
  await clock.advance(2_000);
  expect((await first).kind).toEqual("accepted");
  expect((await second).kind).toEqual("accepted");
  await stop();
});

test("an entry that cannot read the store refuses nothing because of overload", async () => {
  const { store, submit, stop } = await setUp();
  store.fault = "refuses";
  const outcome = await submit(JOB, 3_000);
  expect("cause" in outcome && outcome.cause).toEqual("unavailable");
  await stop();
});

test("a summary that is too old refuses nothing", async () => {
  const { clock, submit, stop } = await setUp();
  await clock.advance(2_100);
  expect((await submit()).kind).toEqual("accepted");
  await stop();
});

test("a job whose record was certainly not stored is refused when it returns", async () => {
  const { clock, store, submit, publish, stop } = await setUp();
  // The view cannot be refreshed, so the job is not refused for want of room.
  store.fault = "refuses";
  const first = await submit(JOB, 3_000);
  expect("cause" in first && first.cause).toEqual("unavailable");
  store.fault = "none";
  await clock.advance(2_000);
  publish();
  await clock.advance(100);
  publish();
  const second = await submit();
  expect("cause" in second && second.cause).toEqual("overload");
  expect(store.recordsOf(TOPICS.jobs)).toEqual([]);
  await stop();
});

test("a job whose stored record cannot be read is not refused for want of room", async () => {
  const { clock, store, submit, stop } = await setUp();
  await store.append({
    topic: TOPICS.jobs,
    records: [{ key: JOB, value: Buffer.from('{"version":999}') }],
    stamp: { producer: "newer", epoch: 1, sequence: 1 },
    timeoutMs: 100,
  });
  await clock.advance(10);
  expect((await submit()).kind).toEqual("accepted");
  await stop();
});

// Operators see otherwise neither that nor why hopeless jobs are accepted.
test("a job that is accepted because the view could not be refreshed is counted", async () => {
  const { clock, store, submit, stop, metrics } = await setUp();
  const read = store.read.bind(store);
  store.read = async (req) => {
    await sleep(clock, 2_000);
    return read(req);
  };
  expect((await submit()).kind).toEqual("accepted");
  const counted = await metrics.values("admission_decisions");
  expect(counted.map(({ labels }) => labels)).toEqual([
    { outcome: "accept", reason: "stale-view", priority: "0" },
  ]);
  await stop();
});
