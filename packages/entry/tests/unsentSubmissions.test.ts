/**
 * Submissions of which nothing was sent to the store. An entry that answers them as
 * unknown keeps the caller from trying another entry, although the job does not exist.
 */

import { test } from "node:test";
import { expect } from "earl";
import { ManualClock } from "@rackspan/common";
import type { JobRequestOutcome } from "@rackspan/entry";
import { TOPICS } from "@rackspan/state";
import { MemoryStore, plainJob, type StoreFault } from "@rackspan/standins";
import { createJobService } from "./createJobService.js";

const QUEUE = {} as never;
const JOB = "00000000000000aa";

interface Submission {
  readonly outcome: JobRequestOutcome;
  readonly tookMs: number;
}

const setUp = async () => {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  const entry = { clock, store, entry: "entry", pollIntervalMs: 100 };
  const { jobService, stop } = createJobService(entry);
  await clock.advance(1_000);
  let count = 0;
  const nextId = (): string => (count += 1).toString(16).padStart(16, "0");
  const submit = async (timeMs: number, id = nextId()): Promise<Submission> => {
    const { spec } = plainJob({ id, acceptedAt: clock.now() });
    const startedAt = clock.monotonic();
    const outcome = await jobService.submit(QUEUE, spec, startedAt + timeMs);
    return { outcome, tookMs: clock.monotonic() - startedAt };
  };
  const finish = async (): Promise<number> => {
    store.fault = "none";
    await clock.advance(10_000);
    const stopped = stop();
    await clock.advance(2_000);
    await stopped;
    return store.recordsOf(TOPICS.jobs).length;
  };
  return { clock, store, submit, finish };
};

for (const timeMs of [250, 400, 3_000]) {
  test(`a submission whose append gets no connection is refused within its ${timeMs} ms, and never runs`, async () => {
    const { clock, store, submit, finish } = await setUp();
    store.fault = "unconnected";
    const submission = submit(timeMs);
    await clock.advance(timeMs);
    const { outcome, tookMs } = await submission;
    expect(outcome.kind).toEqual("refused");
    expect("retryAfterMs" in outcome && outcome.retryAfterMs).toEqual(0);
    expect(tookMs <= (2 / 3) * timeMs).toEqual(true);
    expect(await finish()).toEqual(0);
  });
}

test("a submission that waits behind an unanswered append is refused while its caller can try another entry", async () => {
  const { clock, store, submit, finish } = await setUp();
  store.fault = "silent";
  const sent = submit(600);
  await clock.advance(50);
  const waiting = submit(600);
  await clock.advance(1_000);
  expect((await sent).outcome.kind).toEqual("unknown");
  const { outcome, tookMs } = await waiting;
  expect(outcome.kind).toEqual("refused");
  expect("retryAfterMs" in outcome && outcome.retryAfterMs).toEqual(0);
  expect(tookMs <= 400).toEqual(true);
  // Only the submission that was answered as unknown may be in the store.
  expect((await finish()) <= 1).toEqual(true);
});

// Sent, it would be answered as unknown once all of the caller's time is over.
test("a submission to an entry whose reads are not answered is refused without being sent", async () => {
  const { clock, store, submit, finish } = await setUp();
  store.fault = "silent";
  await clock.advance(4_000);
  const submission = submit(3_000);
  await clock.advance(3_000);
  const { outcome, tookMs } = await submission;
  expect(outcome.kind).toEqual("refused");
  expect(tookMs <= 1_000).toEqual(true);
  expect(await finish()).toEqual(0);
});

test("a submission is accepted at once when a silent store answers again", async () => {
  const { clock, store, submit, finish } = await setUp();
  store.fault = "silent";
  await clock.advance(4_000);
  const submission = submit(3_000);
  await clock.advance(200);
  store.fault = "none";
  await clock.advance(2_800);
  const { outcome, tookMs } = await submission;
  expect(outcome.kind).toEqual("accepted");
  expect(tookMs <= 1_000).toEqual(true);
  expect(await finish()).toEqual(1);
});

// Guards against the opposite fault: a record that was sent may be persisted.
test("a submission that was sent and not answered is unknown, under every fault before and after", async () => {
  const others: readonly StoreFault[] = ["none", "refuses", "unconnected"];
  for (const later of others) {
    const { clock, store, submit, finish } = await setUp();
    store.fault = "loses-answers";
    const submission = submit(3_000);
    await clock.advance(100);
    store.fault = later;
    await clock.advance(3_000);
    const { outcome } = await submission;
    expect(outcome.kind).toEqual(later === "none" ? "accepted" : "unknown");
    expect(await finish()).toEqual(1);
  }
});

// A refusal states that the job never runs, but the record of the first submission may
// still be stored.
test("a repeated submission is not refused while the outcome of an earlier one is unknown", async () => {
  const { clock, store, submit, finish } = await setUp();
  store.fault = "silent";
  const first = submit(600, JOB);
  await clock.advance(700);
  expect((await first).outcome.kind).toEqual("unknown");
  const repeated = submit(600, JOB);
  const other = submit(600);
  await clock.advance(700);
  expect((await repeated).outcome.kind).toEqual("unknown");
  expect((await other).outcome.kind).toEqual("refused");
  expect(await finish()).toEqual(1);
});

test("a submission that was refused without being sent does not make a repeated one unknown", async () => {
  const { clock, store, submit, finish } = await setUp();
  for (const fault of ["refuses", "unconnected", "refuses"] as const) {
    store.fault = fault;
    const submission = submit(600, JOB);
    await clock.advance(700);
    expect((await submission).outcome.kind).toEqual("refused");
  }
  expect(await finish()).toEqual(0);
});

// Such a record is the job in a form of a newer version, so the job may run.
test("a job whose stored record cannot be read is not refused", async () => {
  const { clock, store, submit, finish } = await setUp();
  await store.append({
    topic: TOPICS.jobs,
    records: [{ key: JOB, value: Buffer.from('{"version":999}') }],
    stamp: { producer: "newer", epoch: 1, sequence: 1 },
    timeoutMs: 100,
  });
  await clock.advance(1_000);
  store.fault = "refuses";
  const submission = submit(600, JOB);
  await clock.advance(700);
  expect((await submission).outcome.kind).toEqual("unknown");
  await finish();
});
