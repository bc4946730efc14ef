/** What a new leader reads about the placements that previous leaders recorded. */

import { test } from "node:test";
import { expect } from "earl";
import {
  brand,
  ManualClock,
  Metrics,
  silentLogger,
  type HostId,
  type WorkerInstance,
} from "@rackspan/common";
import {
  decodeHost,
  decodeProgress,
  decodeStoredHost,
  encodeHost,
  encodeProgress,
  encodeTerm,
  JobView,
  PROGRESS_KEYS,
  TopicFollower,
  TOPICS,
  type JobId,
} from "@rackspan/state";
import type { RecordPage, RecordStore } from "@rackspan/ports";
import { plainJob, STARTED_PROGRESS } from "@rackspan/standins";

const HOST = brand<HostId>("h1");
const INSTANCE = brand<WorkerInstance>("h1-1");
const TERM = encodeTerm({ epoch: 7, placementsSince: 3 });

const createView = () => {
  const metrics = new Metrics();
  return { metrics, view: new JobView({ logger: silentLogger, metrics }) };
};

// Decoded as progress, each of them would be logged as an unreadable job.
test("the keys of the term and of the load summary are not taken for jobs", async () => {
  const { view, metrics } = createView();
  for (const id of [PROGRESS_KEYS.term, "load"]) {
    view.addAccepted(plainJob({ id, acceptedAt: 0 }));
  }
  view.applyProgressRecords([
    { key: PROGRESS_KEYS.term, value: TERM },
    { key: "load", value: encodeProgress(STARTED_PROGRESS) },
  ]);
  expect(view.lastTerm).toEqual({ epoch: 7, placementsSince: 3 });
  expect(view.get(brand<JobId>("load"))?.progress).toEqual(undefined);
  expect(view.hasUnreadableProgress).toEqual(false);
  expect(await metrics.total("records_passed_over")).toEqual(0);
});

// An older term must not vouch for the leaders after it.
test("a term that cannot be read, or is deleted, replaces the term before", () => {
  for (const value of [Buffer.from("{"), undefined]) {
    const { view } = createView();
    view.applyProgressRecords([{ key: PROGRESS_KEYS.term, value: TERM }]);
    view.applyProgressRecords([{ key: PROGRESS_KEYS.term, value }]);
    expect(view.lastTerm).toEqual(undefined);
  }
});

// Such a job seems to have no record, as if it had never been started.
test("progress that cannot be read is known as such until it is replaced", () => {
  const { view } = createView();
  view.applyProgressRecords([{ key: "j", value: Buffer.from("{}") }]);
  expect(view.hasUnreadableProgress).toEqual(true);
  const value = encodeProgress(STARTED_PROGRESS);
  view.applyProgressRecords([{ key: "j", value }]);
  expect(view.hasUnreadableProgress).toEqual(false);
});

/** A view that follows a topic with the given pages; returns once it has read them. */
const followPages = async (newest: RecordPage, polled?: RecordPage) => {
  const clock = new ManualClock();
  const { view } = createView();
  let unread = polled;
  const store = {
    readNewest: async () => newest,
    read: async () => {
      const page = unread ?? { records: [], next: 9 };
      unread = undefined;
      return { ...page, end: page.next };
    },
  };
  const follower = new TopicFollower({
    topic: TOPICS.progress,
    store: store as unknown as RecordStore,
    clock,
    logger: silentLogger,
    minPollIntervalMs: () => 10,
    onRecords: (records) => view.applyProgressRecords(records),
    onUnreadable: (unreadable) => view.applyUnreadableProgress(unreadable),
  });
  follower.start();
  await clock.advance(50);
  const stopped = follower.stop();
  await clock.advance(50);
  await stopped;
  return view;
};

const TERM_PAGE: RecordPage = {
  records: [{ key: PROGRESS_KEYS.term, offset: 1, value: TERM }],
  next: 9,
};

// The store client leaves such records out, so their jobs seem never started.
test("progress that the store client cannot read counts as unreadable", async () => {
  const newest = { ...TERM_PAGE, unreadable: 1, unreadableKeys: ["j"] };
  expect((await followPages(newest)).hasUnreadableProgress).toEqual(true);
  const withoutKey = { ...TERM_PAGE, unreadable: 1 };
  expect((await followPages(withoutKey)).hasUnreadableProgress).toEqual(true);
  const summary = { ...newest, unreadableKeys: [PROGRESS_KEYS.load] };
  expect((await followPages(summary)).hasUnreadableProgress).toEqual(false);
});

test("a term that the store client cannot read is no term", async () => {
  const keys = [PROGRESS_KEYS.term];
  const newest = { records: [], next: 9, unreadable: 1, unreadableKeys: keys };
  const { view } = createView();
  view.applyProgressRecords(TERM_PAGE.records);
  view.applyUnreadableProgress({
    isFullLoad: true,
    keys,
    hasUnknownKeys: false,
  });
  expect(view.lastTerm).toEqual(undefined);
  expect((await followPages(newest)).lastTerm).toEqual(undefined);
});

// A polled page names no keys, so it is unknown which records replace the unreadable ones.
test("an unreadable record in a polled page counts until the next full load", async () => {
  const view = await followPages(TERM_PAGE, {
    records: [],
    next: 10,
    unreadable: 1,
  });
  expect(view.hasUnreadableProgress).toEqual(true);
  const load = { isFullLoad: true, keys: [], hasUnknownKeys: false };
  view.applyUnreadableProgress({ ...load, isFullLoad: false });
  expect(view.hasUnreadableProgress).toEqual(true);
  view.applyUnreadableProgress(load);
  expect(view.hasUnreadableProgress).toEqual(false);
});

test("hosts written by leaders without placements are told apart", () => {
  const { view } = createView();
  const key = HOST as string;
  view.applyHostRecords([{ key, value: encodeHost(INSTANCE) }]);
  expect(view.hostsWithoutPlacements).toEqual([HOST]);
  view.applyHostRecords([{ key, value: encodeHost(INSTANCE, true) }]);
  expect(view.hostsWithoutPlacements).toEqual([]);
  expect(view.roster.get(HOST)).toEqual(INSTANCE);
  view.applyHostRecords([{ key, value: encodeHost(INSTANCE) }]);
  view.applyHostRecords([{ key, value: undefined }]);
  expect(view.hostsWithoutPlacements).toEqual([]);
});

// Versions without placements read only `instance`, and write the host anew without it.
test("a host written by a leader with placements names no incarnation for former versions", () => {
  const value = encodeHost(INSTANCE, true);
  const fields = Object.keys(JSON.parse(value.toString()) as object);
  expect(fields).toEqual(["instanceWithPlacements"]);
  expect(decodeHost("h1", value)).toEqual(INSTANCE);
  const unnamed = encodeHost(undefined, true);
  expect(decodeStoredHost("h1", unnamed)).toEqual({
    instance: undefined,
    hasPlacements: true,
  });
});

test("placements are stored with a record, and absent from records of former versions", () => {
  const record = {
    ...STARTED_PROGRESS,
    placed: ["h1 0.0:0-3,7 1.0:2"],
    placedEpoch: 4,
  };
  expect(decodeProgress("j", encodeProgress(record))).toEqual(record);
  const former = decodeProgress("j", encodeProgress(STARTED_PROGRESS));
  expect(former.placed).toEqual(undefined);
});

test("a record with malformed placements is not read", () => {
  for (const placed of ["h1", "h1 0:1", "h1 0.0:", "h1 0.0:1-", " 0.0:1"]) {
    const record = { ...STARTED_PROGRESS, placed: [placed], placedEpoch: 4 };
    expect(() => decodeProgress("j", encodeProgress(record))).toThrow();
  }
});
