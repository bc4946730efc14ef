import { test } from "node:test";
import { expect } from "earl";
import { ManualClock, pause, silentLogger } from "@rackspan/common";
import {
  FencedError,
  StoreAnswerLostError,
  StoreRefusedError,
} from "@rackspan/ports";
import { MemoryStore } from "@rackspan/standins";
import { TopicWriter, TOPICS } from "@rackspan/state";

const record = (key: string) => ({ key, value: Buffer.from(key) });

const setUp = ({ epoch = 1, retriesRefusedBatches = false } = {}) => {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  const writerOf = (of: number) =>
    new TopicWriter({
      topic: TOPICS.jobs,
      store,
      clock,
      logger: silentLogger,
      producer: "p",
      epoch: of,
      batchWindowMs: 2,
      retriesRefusedBatches,
    });
  const keys = () => store.recordsOf(TOPICS.jobs).map(({ key }) => key);
  return { clock, store, writer: writerOf(epoch), writerOf, keys };
};

test("records that are written together are sent in one append", async () => {
  const { clock, store, writer, keys } = setUp();
  const writes = ["a", "b", "c"].map(
    (key) => writer.write(record(key)).persisted,
  );
  await clock.advance(10);
  await Promise.all(writes);
  expect(store.appends).toEqual(1);
  expect(keys()).toEqual(["a", "b", "c"]);
});

test("a batch whose answer was lost is persisted once", async () => {
  const { clock, store, writer, keys } = setUp();
  store.fault = "loses-answers";
  const { persisted } = writer.write(record("a"));
  await clock.advance(1_200);
  store.fault = "none";
  await clock.advance(1_000);
  await persisted;
  expect(keys()).toEqual(["a"]);
});

test("a refused record is reported to its caller and never persisted", async () => {
  const { clock, store, writer, keys } = setUp();
  store.fault = "refuses";
  const { persisted } = writer.write(record("a"));
  const refusal = expect(persisted).toBeRejectedWith(StoreRefusedError);
  await clock.advance(100);
  await refusal;
  store.fault = "none";
  const second = writer.write(record("b")).persisted;
  await clock.advance(100);
  await second;
  expect(keys()).toEqual(["b"]);
});

test("while the store does not answer, unsent records are refused at once", async () => {
  const { clock, store, writer, keys } = setUp();
  store.fault = "silent";
  const first = writer.write(record("sent"));
  await clock.advance(1_500);
  const waiting = writer.write(record("waiting"));
  await expect(waiting.persisted).toBeRejectedWith(StoreRefusedError);
  expect(first.abandon()).toEqual(false);
  store.fault = "none";
  await clock.advance(3_000);
  await first.persisted;
  expect(keys()).toEqual(["sent"]);
});

test("a writer of a lower epoch cannot write once a higher epoch has fenced it", async () => {
  const { clock, writer, writerOf, keys } = setUp({
    retriesRefusedBatches: true,
  });
  const first = writer.write(record("a")).persisted;
  await clock.advance(10);
  await first;
  const next = writerOf(2);
  await next.fenceLowerEpochs();
  const late = expect(writer.write(record("late")).persisted).toBeRejectedWith(
    FencedError,
  );
  await clock.advance(10);
  await late;
  const second = next.write(record("b")).persisted;
  await clock.advance(10);
  await second;
  expect(keys()).toEqual(["a", "b"]);
});

// The store may already have persisted the same sequence numbers from the previous
// leader, and would then ignore the new records as repeated ones.
test("the first records of a new leader are not taken for repeated ones of the previous leader", async () => {
  for (const previousCount of [1, 3, 5, 7]) {
    const { clock, writer, writerOf, keys } = setUp({
      retriesRefusedBatches: true,
    });
    const expectedKeys: string[] = [];
    const persist = async (by: TopicWriter, key: string): Promise<void> => {
      expectedKeys.push(key);
      const { persisted } = by.write(record(key));
      await clock.advance(100);
      await persisted;
    };
    for (let at = 0; at < previousCount; at += 1)
      await persist(writer, `former-${at}`);
    const next = writerOf(2);
    await next.fenceLowerEpochs();
    for (let at = 0; at < 7; at += 1) await persist(next, `next-${at}`);
    expect(keys()).toEqual(expectedKeys);
  }
});

// The same when the answer to the first record is lost: the writer must adopt the
// sequence number that the store expects without dropping the record.
test("the first record of a new leader is persisted although its answer was lost", async () => {
  const { clock, store, writer, writerOf, keys } = setUp({
    retriesRefusedBatches: true,
  });
  const first = writer.write(record("former")).persisted;
  await clock.advance(100);
  await first;
  const next = writerOf(2);
  await next.fenceLowerEpochs();
  store.fault = "silent";
  const { persisted } = next.write(record("next"));
  await clock.advance(1_000);
  store.fault = "none";
  await clock.advance(1_000);
  await persisted;
  expect(keys()).toEqual(["former", "next"]);
});

// A caller that learns that nothing was sent may try another entry at once.
test("a record whose append gets no connection can be withdrawn, and the others of its batch are sent", async () => {
  const { clock, store, writer, keys } = setUp();
  store.fault = "unconnected";
  const withdrawn = writer.write(record("withdrawn"));
  withdrawn.persisted.catch(() => undefined);
  const other = writer.write(record("other"));
  await clock.advance(100);
  store.fault = "none";
  expect(withdrawn.abandon()).toEqual(true);
  await clock.advance(100);
  await other.persisted;
  expect(keys()).toEqual(["other"]);
});

test("a record that was sent cannot be withdrawn", async () => {
  const { clock, store, writer, keys } = setUp();
  store.fault = "silent";
  const { persisted, abandon } = writer.write(record("sent"));
  await clock.advance(100);
  expect(abandon()).toEqual(false);
  store.fault = "none";
  await clock.advance(1_500);
  await persisted;
  expect(keys()).toEqual(["sent"]);
});

// The first attempt may have been persisted before the other writer took over, so the
// record must not be reported as refused.
test("a record whose answer was lost before the writer was fenced may be persisted", async () => {
  const { clock, store, writer, writerOf, keys } = setUp();
  const first = writer.write(record("first")).persisted;
  await clock.advance(10);
  await first;
  store.fault = "loses-answers";
  const { persisted } = writer.write(record("a"));
  const lost = expect(persisted).toBeRejectedWith(StoreAnswerLostError);
  await clock.advance(400);
  store.fault = "none";
  await writerOf(2).fenceLowerEpochs();
  await clock.advance(1_000);
  await lost;
  expect(keys()).toEqual(["first", "a"]);
});

// Guards against withdrawals that keep the other records of their batch from being sent:
// each one used to cancel the connection attempt that the others wait for as well.
test("frequent withdrawals do not keep other records from being sent over a slow connection", async () => {
  const { clock, store, writer, keys } = setUp();
  const append = store.append.bind(store);
  store.append = async (req) => {
    await pause(clock, 200, req.signal ?? new AbortController().signal);
    if (req.signal?.aborted) throw new StoreRefusedError("no connection");
    return append(req);
  };
  const abandonAfter = (key: string, ms: number): void => {
    const { persisted, abandon } = writer.write(record(key));
    persisted.catch(() => undefined);
    clock.after(ms, abandon);
  };
  const patient = Array.from({ length: 30 }, (_, at) => `patient-${at}`);
  for (const key of patient) abandonAfter(key, 2_000);
  for (let at = 0; at < 300; at += 1) {
    abandonAfter(`hurried-${at}`, 100);
    await clock.advance(10);
  }
  const sent = new Set(keys());
  expect(patient.filter((key) => sent.has(key)).length).toEqual(30);
  await clock.advance(1_000);
});
