import { test } from "node:test";
import { expect } from "earl";
import { ManualClock, silentLogger } from "@rackspan/common";
import { FencedError, StoreRefusedError } from "@rackspan/ports";
import { MemoryStore } from "@rackspan/standins";
import { TopicWriter, TOPICS } from "@rackspan/state";

const record = (key: string) => ({ key, value: Buffer.from(key) });

const setUp = ({ epoch = 1, retriesRefused = false } = {}) => {
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
      retriesRefusedBatches: retriesRefused,
    });
  const keys = () => store.recordsOf(TOPICS.jobs).map(({ key }) => key);
  return { clock, store, writer: writerOf(epoch), writerOf, keys };
};

test("records written together go out as one append", async () => {
  const { clock, store, writer, keys } = setUp();
  const writes = ["a", "b", "c"].map(
    (key) => writer.write(record(key)).persisted,
  );
  await clock.advance(10);
  await Promise.all(writes);
  expect(store.appends).toEqual(1);
  expect(keys()).toEqual(["a", "b", "c"]);
});

test("a batch whose answer was lost is kept once", async () => {
  const { clock, store, writer, keys } = setUp();
  store.fault = "loses-answers";
  const { persisted: kept } = writer.write(record("a"));
  await clock.advance(1_200);
  store.fault = "none";
  await clock.advance(1_000);
  await kept;
  expect(keys()).toEqual(["a"]);
});

test("a refused record is told to its writer and never kept", async () => {
  const { clock, store, writer, keys } = setUp();
  store.fault = "refuses";
  const { persisted: kept } = writer.write(record("a"));
  const refusal = expect(kept).toBeRejectedWith(StoreRefusedError);
  await clock.advance(100);
  await refusal;
  store.fault = "none";
  const second = writer.write(record("b")).persisted;
  await clock.advance(100);
  await second;
  expect(keys()).toEqual(["b"]);
});

test("while the store is silent, what was not sent is refused at once", async () => {
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

test("a writer of a lower epoch writes nothing once a higher one has fenced it off", async () => {
  const { clock, writer, writerOf, keys } = setUp({ retriesRefused: true });
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

// The store may know their numbers from the former leader, and take them for repeats.
test("the first records of a new leader are not taken for repeats of the former one's", async () => {
  for (const previousCount of [1, 3, 5, 7]) {
    const { clock, writer, writerOf, keys } = setUp({ retriesRefused: true });
    const expectedKeys: string[] = [];
    const persist = async (by: TopicWriter, key: string): Promise<void> => {
      expectedKeys.push(key);
      const { persisted: kept } = by.write(record(key));
      await clock.advance(100);
      await kept;
    };
    for (let at = 0; at < previousCount; at += 1)
      await persist(writer, `former-${at}`);
    const next = writerOf(2);
    await next.fenceLowerEpochs();
    for (let at = 0; at < 7; at += 1) await persist(next, `next-${at}`);
    expect(keys()).toEqual(expectedKeys);
  }
});

// The same with a first record whose answer is lost: the writer must learn the
// number that the store wants without giving the record up.
test("the first record of a new leader is kept although its answer was lost", async () => {
  const { clock, store, writer, writerOf, keys } = setUp({
    retriesRefused: true,
  });
  const first = writer.write(record("former")).persisted;
  await clock.advance(100);
  await first;
  const next = writerOf(2);
  await next.fenceLowerEpochs();
  store.fault = "silent";
  const { persisted: kept } = next.write(record("next"));
  await clock.advance(1_000);
  store.fault = "none";
  await clock.advance(1_000);
  await kept;
  expect(keys()).toEqual(["former", "next"]);
});
