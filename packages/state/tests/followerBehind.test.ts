/** When a follower that is behind the store counts as up to date. */

import { test } from "node:test";
import { expect } from "earl";
import { brand, ManualClock, silentLogger } from "@rackspan/common";
import {
  StoreRefusedError,
  type RecordStore,
  type TopicName,
} from "@rackspan/ports";
import { TopicFollower } from "@rackspan/state";
import { MemoryStore } from "@rackspan/standins";

const TOPIC = brand<TopicName>("progress");
const RECORDS = 7;

// The store returns at most one megabyte per read.
test("a follower is up to date once it has read all records of the store, not only one page", async () => {
  const clock = new ManualClock();
  const memory = new MemoryStore(clock);
  memory.maxReadRecords = 2;
  const known: string[] = [];
  const follower = new TopicFollower({
    topic: TOPIC,
    store: memory,
    clock,
    logger: silentLogger,
    minPollIntervalMs: () => 20,
    onRecords: (records) => known.push(...records.map(({ key }) => key)),
  });
  follower.start();
  await clock.advance(50);
  memory.fault = "refuses";
  await clock.advance(2_000);
  memory.fault = "none";
  for (let sequence = 1; sequence <= RECORDS; sequence += 1) {
    await memory.append({
      topic: TOPIC,
      records: [{ key: `task-${sequence}`, value: Buffer.from("done") }],
      stamp: { producer: "leader", epoch: 1, sequence },
      timeoutMs: 100,
    });
  }
  let knownAtCatchUp: number | undefined;
  void follower.catchUp().then(() => (knownAtCatchUp = known.length));
  await clock.advance(1_000);
  expect(knownAtCatchUp).toEqual(RECORDS);
  const stopped = follower.stop();
  await clock.advance(2_000);
  await stopped;
});

/** A store that refuses to return the newest record of each key. */
const createRefusingStore = (clock: ManualClock) => {
  let calls = 0;
  const readNewest = async (): Promise<never> => {
    calls += 1;
    await new Promise<void>((resolve) => clock.after(1, resolve));
    throw new StoreRefusedError("too many calls");
  };
  const store = { readNewest } as unknown as RecordStore;
  return { store, calls: () => calls };
};

// A caller that waits for an up-to-date view aborts the current poll. A
// refused load of all keys must not be treated as such an abort, or the
// follower would retry without a pause.
test("a follower that is refused pauses, even while a caller waits for its view", async () => {
  const clock = new ManualClock();
  const { store, calls } = createRefusingStore(clock);
  const follower = new TopicFollower({
    topic: TOPIC,
    store,
    clock,
    logger: silentLogger,
    minPollIntervalMs: () => 20,
    onRecords: () => undefined,
  });
  follower.start();
  void follower.catchUp();
  await clock.advance(1_000);
  expect(calls() <= 8).toEqual(true);
  const stopped = follower.stop();
  await clock.advance(1_000);
  await stopped;
});
