import { test } from "node:test";
import { expect } from "earl";
import {
  brand,
  ManualClock,
  silentLogger,
  type HostId,
  type WorkerInstance,
} from "@rackspan/common";
import { StoredRoster } from "@rackspan/entry";
import { MemoryStore } from "@rackspan/standins";
import { decodeHost, TopicWriter, TOPICS } from "@rackspan/state";

const HOST = brand<HostId>("h1");
const FIRST = brand<WorkerInstance>("h1-1");
const SECOND = brand<WorkerInstance>("h1-2");

const setUp = () => {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  const writer = new TopicWriter({
    topic: TOPICS.hosts,
    store,
    clock,
    logger: silentLogger,
    producer: "leader",
    epoch: 1,
    batchWindowMs: 0,
    retriesRefusedBatches: true,
  });
  return {
    clock,
    store,
    roster: new StoredRoster(writer, silentLogger, new Map()),
  };
};

test("a host is listed once it has been persisted", async () => {
  const { clock, roster } = setUp();
  const added = roster.persist(HOST, FIRST);
  expect(roster.recordedInstance(HOST)).toEqual(undefined);
  await clock.advance(10);
  await added;
  expect(roster.recordedInstance(HOST)).toEqual(FIRST);
});

test("a host that is removed while it is being added is not listed", async () => {
  const { clock, store, roster } = setUp();
  store.fault = "refuses";
  const added = roster.persist(HOST, FIRST);
  await clock.advance(100);
  roster.remove(HOST);
  store.fault = "none";
  await clock.advance(500);
  await added;
  expect(store.recordsOf(TOPICS.hosts).at(-1)?.value).toEqual(undefined);
  expect(roster.recordedInstance(HOST)).toEqual(undefined);
});

test("the next incarnation of a worker is listed once it has been persisted", async () => {
  const { clock, store, roster } = setUp();
  const first = roster.persist(HOST, FIRST);
  await clock.advance(10);
  await first;
  const second = roster.persist(HOST, SECOND);
  expect(roster.recordedInstance(HOST)).toEqual(FIRST);
  await clock.advance(10);
  await second;
  expect(roster.recordedInstance(HOST)).toEqual(SECOND);
  const kept = store.recordsOf(TOPICS.hosts).at(-1)?.value as Buffer;
  expect(decodeHost("h1", kept)).toEqual(SECOND);
});

test("an incarnation that is replaced while it is being persisted is not listed", async () => {
  const { clock, store, roster } = setUp();
  store.fault = "refuses";
  const first = roster.persist(HOST, FIRST);
  const second = roster.persist(HOST, SECOND);
  await clock.advance(100);
  store.fault = "none";
  await clock.advance(500);
  await Promise.all([first, second]);
  expect(roster.recordedInstance(HOST)).toEqual(SECOND);
});
