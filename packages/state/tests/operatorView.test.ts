/** How records of the operator's topic are applied. */

import { test } from "node:test";
import { expect } from "earl";
import {
  brand,
  ManualClock,
  Metrics,
  silentLogger,
  type AvailabilityZone,
  type Logger,
} from "@rackspan/common";
import {
  RecordsGoneError,
  type KeyedRecord,
  type RecordStore,
} from "@rackspan/ports";
import {
  ConfigHolder,
  EvacuatedZones,
  OperatorView,
  TopicFollower,
  TOPICS,
  type OperatorRecord,
} from "@rackspan/state";
import { MemoryStore } from "@rackspan/standins";

const A = brand<AvailabilityZone>("obihiro-a");
const B = brand<AvailabilityZone>("otofuke-b");

/** Test format: keys are zones, and `?` cannot be read. */
const decode = ({ key, value }: KeyedRecord): OperatorRecord | undefined => {
  if (key === "?") throw new Error("nonsense");
  const zone = brand<AvailabilityZone>(key);
  return { kind: "evacuation", zone, isEvacuated: value !== undefined };
};

const setUp = () => {
  const clock = new ManualClock();
  const lines: string[] = [];
  const logEvent = (event: string): void => void lines.push(event);
  const logger = { ...silentLogger, info: logEvent, error: logEvent } as Logger;
  const metrics = new Metrics();
  const zones = new EvacuatedZones({ clock, logger, metrics });
  const changes: AvailabilityZone[] = [];
  zones.changes.on((zone) => changes.push(zone));
  const config = new ConfigHolder(logger);
  const view = new OperatorView({ decoder: { decode }, config, zones, logger });
  return { clock, lines, zones, changes, view };
};

const evacuate = (key: string): KeyedRecord => ({
  key,
  value: Buffer.from("{}"),
});
const endEvacuation = (key: string): KeyedRecord => ({ key, value: undefined });

test("a zone is evacuated until its record is deleted, and each change is reported once", () => {
  const { view, zones, changes, lines } = setUp();
  view.applyRecords([evacuate(A), evacuate(A), evacuate(B)]);
  expect([zones.has(A), zones.has(B)]).toEqual([true, true]);
  view.applyRecords([endEvacuation(A), endEvacuation(A)]);
  expect([zones.has(A), zones.has(B)]).toEqual([false, true]);
  expect(changes).toEqual([A, B, A]);
  expect(lines).toEqual([
    "zone.evacuated",
    "zone.evacuated",
    "zone.taken-back",
  ]);
});

test("an unreadable record does not prevent the others from being applied", () => {
  const { view, zones, lines } = setUp();
  view.applyRecords([evacuate("?"), evacuate(A)]);
  expect(zones.has(A)).toEqual(true);
  expect(lines).toEqual(["operator.unreadable", "zone.evacuated"]);
});

test("an evacuation that ends while a follower has lost the history is ended there too", async () => {
  const { clock, view, zones } = setUp();
  const store = new MemoryStore(clock);
  let isTruncated = false;
  const truncatedStore: RecordStore = {
    limits: store.limits,
    append: (req) => store.append(req),
    readNewest: (topic) => store.readNewest(topic),
    read: async (req) => {
      const answer = await store.read(req);
      if (!isTruncated) return answer;
      isTruncated = false;
      throw new RecordsGoneError(req.topic, req.from, answer.end);
    },
  };
  const follower = new TopicFollower({
    topic: TOPICS.config,
    store: truncatedStore,
    clock,
    logger: silentLogger,
    minPollIntervalMs: () => 20,
    onRecords: (records) => view.applyRecords(records),
  });
  let sequence = 0;
  const write = (records: readonly KeyedRecord[]): Promise<number> =>
    store.append({
      topic: TOPICS.config,
      records,
      stamp: { producer: "operator", epoch: 1, sequence: (sequence += 1) },
      timeoutMs: 0,
    });
  await write([evacuate(A), evacuate(B)]);
  follower.start();
  await clock.advance(100);
  expect([zones.has(A), zones.has(B)]).toEqual([true, true]);
  isTruncated = true;
  await write([endEvacuation(A)]);
  await clock.advance(3_000);
  expect([zones.has(A), zones.has(B)]).toEqual([false, true]);
  const stopped = follower.stop();
  await clock.advance(2_000);
  await stopped;
});
