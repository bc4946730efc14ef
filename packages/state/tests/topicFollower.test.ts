/** What a follower passes on after it has missed records. */

import { test } from "node:test";
import { expect } from "earl";
import { brand, ManualClock, pause, silentLogger } from "@rackspan/common";
import {
  RecordsGoneError,
  StoreAnswerLostError,
  type ReadRequest,
  type RecordPage,
  type RecordStore,
  type TopicName,
} from "@rackspan/ports";
import { TopicFollower } from "@rackspan/state";
import { MemoryStore } from "@rackspan/standins";

const TOPIC = brand<TopicName>("jobs");

/**
 * A store whose old records can be dropped, so that followers must
 * load the topic again.
 */
class TruncatedStore {
  oldest = 0;

  constructor(private readonly store: MemoryStore) {}

  read = async (req: ReadRequest): Promise<RecordPage> => {
    if (req.from < this.oldest) {
      throw new RecordsGoneError(TOPIC, req.from, this.oldest);
    }
    return this.store.read(req);
  };

  readNewest: RecordStore["readNewest"] = (topic) =>
    this.store.readNewest(topic);

  append = (): never => {
    throw new Error("not used");
  };
}

/** A follower of a topic, and the records that it has passed on. */
const setUp = () => {
  const clock = new ManualClock();
  const memory = new MemoryStore(clock);
  const store = new TruncatedStore(memory);
  let sequence = 0;
  const write = async (key: string, value: Buffer | undefined) => {
    sequence += 1;
    await memory.append({
      topic: TOPIC,
      records: [{ key, value }],
      stamp: { producer: "entry", epoch: 1, sequence },
      timeoutMs: 100,
    });
  };
  const known = new Map<string, string>();
  const follower = new TopicFollower({
    topic: TOPIC,
    store: store as unknown as RecordStore,
    clock,
    logger: silentLogger,
    minPollIntervalMs: () => 20,
    onRecords: (records) => {
      for (const { key, value } of records) {
        if (value) known.set(key, value.toString());
        else known.delete(key);
      }
    },
  });
  const stop = async (): Promise<void> => {
    const stopped = follower.stop();
    await clock.advance(2_000);
    await stopped;
  };
  return { clock, memory, store, write, known, follower, stop };
};

// A load of all keys must also show which keys were deleted.
test("keys that were deleted while a follower was disconnected are deleted when it loads the topic again", async () => {
  const { clock, memory, store, write, known, follower, stop } = setUp();
  await write("loaded", Buffer.from("1"));
  follower.start();
  await clock.advance(50);
  await write("polled", Buffer.from("1"));
  await write("kept", Buffer.from("1"));
  await clock.advance(50);
  expect([...known.keys()]).toEqual(["loaded", "polled", "kept"]);
  memory.fault = "refuses";
  await clock.advance(2_000);
  memory.fault = "none";
  await write("loaded", undefined);
  await write("polled", undefined);
  await write("kept", Buffer.from("2"));
  store.oldest = 5;
  await clock.advance(1_000);
  expect([...known]).toEqual([["kept", "2"]]);
  await stop();
});

// A record of another version replaces a readable one. If its key were taken for a
// deleted one, the job would be forgotten and reported to its caller as unknown.
test("a key whose record has become unreadable keeps its last readable value", async () => {
  const { clock, store, write, known, follower, stop } = setUp();
  await write("rewritten", Buffer.from("1"));
  await write("dropped", Buffer.from("1"));
  follower.start();
  await clock.advance(50);
  store.readNewest = async () => ({
    records: [],
    next: 5,
    unreadable: 1,
    unreadableKeys: ["rewritten"],
  });
  store.oldest = 5;
  await clock.advance(2_000);
  expect([...known.keys()]).toEqual(["rewritten"]);
  await stop();
});

// Guards against callers that abort the read that earlier callers wait for, so that the
// view grows older for as long as callers arrive.
test("the view stays fresh while callers ask for it more often than the store answers", async () => {
  const { clock, memory, store, follower, stop } = setUp();
  store.read = async (req) => {
    await pause(clock, 20, req.signal ?? new AbortController().signal);
    req.signal?.throwIfAborted();
    return memory.read(req);
  };
  follower.start();
  await clock.advance(50);
  const waitMs: number[] = [];
  for (let at = 0; at < 300; at += 1) {
    const askedAt = clock.monotonic();
    void follower
      .catchUp()
      .then(() => waitMs.push(clock.monotonic() - askedAt));
    await clock.advance(10);
  }
  expect(follower.ageMs <= 50).toEqual(true);
  expect(waitMs.length >= 290).toEqual(true);
  expect(Math.max(...waitMs) <= 50).toEqual(true);
  await stop();
});

test("a caller that no longer waits for the view is dropped", async () => {
  const { clock, memory, follower, stop } = setUp();
  follower.start();
  await clock.advance(50);
  memory.fault = "silent";
  const abort = new AbortController();
  let isSettled = false;
  const settle = (): void => void (isSettled = true);
  follower.catchUp(abort.signal).then(settle, settle);
  await clock.advance(10);
  expect(isSettled).toEqual(false);
  abort.abort();
  await clock.advance(0);
  expect(isSettled).toEqual(true);
  await stop();
});

// Each interrupted load began with the first page again, so that a weak link could not
// carry a topic of many pages.
test("a load that is interrupted continues behind the pages that were read", async () => {
  const { clock, store, write, known, follower, stop } = setUp();
  const asked: (string | undefined)[] = [];
  store.readNewest = async (_topic, after) => {
    asked.push(after);
    const isFirst = after === undefined;
    if (!isFirst && asked.length % 3 !== 0)
      throw new StoreAnswerLostError("the page was lost");
    const key = isFirst ? "a" : "b";
    const record = { key, value: Buffer.from("1"), offset: 0 };
    const continuesAfter = isFirst ? "a" : undefined;
    return { records: [record], next: isFirst ? 0 : 2, continuesAfter };
  };
  await write("a", Buffer.from("1"));
  await write("b", Buffer.from("1"));
  follower.start();
  await clock.advance(100);
  expect(follower.loaded).toEqual(false);
  // The record changes after its page was read.
  await write("a", Buffer.from("2"));
  await clock.advance(2_000);
  expect(asked).toEqual([undefined, "a", "a"]);
  expect(follower.loaded).toEqual(true);
  expect([...known]).toEqual([
    ["a", "2"],
    ["b", "1"],
  ]);
  await stop();
});
