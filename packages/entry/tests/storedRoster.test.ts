import { test } from "node:test";
import { expect } from "earl";
import {
  brand,
  ManualClock,
  silentLogger,
  type HostId,
} from "@rackspan/common";
import { StoredRoster } from "@rackspan/entry";
import { MemoryStore } from "@rackspan/standins";
import { StampedWriter, TOPICS } from "@rackspan/state";

const HOST = brand<HostId>("h1");

const setUp = () => {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  const writer = new StampedWriter({
    topic: TOPICS.hosts,
    store,
    clock,
    logger: silentLogger,
    producer: "leader",
    epoch: 1,
    gatherMs: 0,
    retriesRefused: true,
  });
  return { clock, store, roster: new StoredRoster(writer, silentLogger, []) };
};

test("a host is listed once the store keeps it", async () => {
  const { clock, roster } = setUp();
  const added = roster.add(HOST);
  expect(roster.has(HOST)).toEqual(false);
  await clock.advance(10);
  await added;
  expect(roster.has(HOST)).toEqual(true);
});

test("a host that is removed while it is being added is not listed", async () => {
  const { clock, store, roster } = setUp();
  store.fault = "refuses";
  const added = roster.add(HOST);
  await clock.advance(100);
  roster.remove(HOST);
  store.fault = "none";
  await clock.advance(500);
  await added;
  expect(store.recordsOf(TOPICS.hosts).at(-1)?.value).toEqual(undefined);
  expect(roster.has(HOST)).toEqual(false);
});
