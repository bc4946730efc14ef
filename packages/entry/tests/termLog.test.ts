/** Which placements a new leader trusts, and what it records for the next one. */

import { test } from "node:test";
import { expect } from "earl";
import {
  brand,
  ManualClock,
  silentLogger,
  type Epoch,
  type HostId,
  type WorkerInstance,
} from "@rackspan/common";
import { StoredRoster, TermLog } from "@rackspan/entry";
import { MemoryStore } from "@rackspan/standins";
import {
  decodeStoredHost,
  decodeTerm,
  PROGRESS_KEYS,
  TopicWriter,
  TOPICS,
  type TermRecord,
} from "@rackspan/state";

const HOST = brand<HostId>("h1");
const INSTANCE = brand<WorkerInstance>("h1-1");
const EPOCH = 9;
const TRUSTED: TermRecord = { epoch: 7, placementsSince: 3 };

const setUp = (options: {
  lastTerm?: TermRecord;
  hostsWithoutPlacements?: readonly HostId[];
  hasUnreadableProgress?: boolean;
  hasUnreadableTerm?: boolean;
  recordsPlacements?: boolean;
}) => {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  const writerOf = (topic: (typeof TOPICS)["hosts" | "progress"]) =>
    new TopicWriter({
      topic,
      store,
      clock,
      logger: silentLogger,
      producer: "leader",
      epoch: EPOCH,
      batchWindowMs: 0,
      retriesRefusedBatches: true,
    });
  const { recordsPlacements = true } = options;
  const termLog = new TermLog({
    view: {
      lastTerm: options.lastTerm,
      hasUnreadableTerm: options.hasUnreadableTerm ?? false,
      hostsWithoutPlacements: options.hostsWithoutPlacements ?? [],
      hasUnreadableProgress: options.hasUnreadableProgress ?? false,
    },
    writer: writerOf(TOPICS.progress),
    epoch: EPOCH as unknown as Epoch,
    recordsPlacements,
    logger: silentLogger,
  });
  const roster = new StoredRoster(
    writerOf(TOPICS.hosts),
    silentLogger,
    new Map([[HOST, INSTANCE]]),
    recordsPlacements,
  );
  const stored = (): TermRecord | undefined => {
    const record = store.recordsOf(TOPICS.progress).at(-1);
    if (record) expect(record.key).toEqual(PROGRESS_KEYS.term);
    return record?.value && decodeTerm(record.value);
  };
  return { clock, store, termLog, roster, stored };
};

test("a leader goes on with the placements that all leaders have recorded", async () => {
  const { termLog, stored } = setUp({ lastTerm: TRUSTED });
  expect(await termLog.begin()).toEqual(3);
  expect(stored()).toEqual({ epoch: EPOCH, placementsSince: 3 });
});

test("the first leader with the flag trusts no placements, and promises none yet", async () => {
  for (const lastTerm of [undefined, { epoch: 7 }]) {
    const { termLog, stored } = setUp(lastTerm ? { lastTerm } : {});
    expect(await termLog.begin()).toEqual(undefined);
    expect(stored()).toEqual({ epoch: EPOCH });
  }
});

// A leader of a former version writes no term, but hosts without the mark.
test("placements are not trusted after a leader of a version that knows none", async () => {
  const { termLog, stored } = setUp({
    lastTerm: TRUSTED,
    hostsWithoutPlacements: [HOST],
  });
  expect(await termLog.begin()).toEqual(undefined);
  expect(stored()).toEqual({ epoch: EPOCH });
});

test("placements are not trusted while the progress of a job cannot be read", async () => {
  const { termLog } = setUp({ lastTerm: TRUSTED, hasUnreadableProgress: true });
  expect(await termLog.begin()).toEqual(undefined);
});

test("a leader without the flag revokes the trust in placements", async () => {
  const { termLog, stored } = setUp({
    lastTerm: TRUSTED,
    recordsPlacements: false,
  });
  expect(await termLog.begin()).toEqual(undefined);
  expect(stored()).toEqual({ epoch: EPOCH });
});

test("a leader without the flag writes no term if there is no trust to revoke", async () => {
  for (const lastTerm of [undefined, { epoch: 7 }]) {
    const { termLog, stored } = setUp({
      ...(lastTerm && { lastTerm }),
      recordsPlacements: false,
    });
    expect(await termLog.begin()).toEqual(undefined);
    expect(stored()).toEqual(undefined);
  }
});

// Otherwise a leader of the version that wrote it would trust placements from before this term.
test("a leader without the flag replaces a term record that it cannot read", async () => {
  const { termLog, stored } = setUp({
    hasUnreadableTerm: true,
    recordsPlacements: false,
  });
  expect(await termLog.begin()).toEqual(undefined);
  expect(stored()).toEqual({ epoch: EPOCH });
});

test("once all placements are known, the hosts are marked before the term", async () => {
  const { clock, store, termLog, roster, stored } = setUp({});
  await termLog.begin();
  await termLog.markComplete(roster);
  await clock.advance(10);
  const host = store.recordsOf(TOPICS.hosts).at(-1);
  expect(host?.value && decodeStoredHost(HOST, host.value)).toEqual({
    instance: INSTANCE,
    hasPlacements: true,
  });
  expect(stored()).toEqual({ epoch: EPOCH, placementsSince: EPOCH });
});

// The caller repeats it at a later tick.
test("a failure to record that placements are complete is passed on, and may be repeated", async () => {
  const { clock, store, termLog, roster, stored } = setUp({});
  await termLog.begin();
  const { append } = store;
  store.append = () => Promise.reject(new Error("answer 413"));
  await expect(termLog.markComplete(roster)).toBeRejected();
  store.append = append;
  await termLog.markComplete(roster);
  await clock.advance(10);
  expect(stored()).toEqual({ epoch: EPOCH, placementsSince: EPOCH });
});

test("hosts that this leader has written or removed are not written again", async () => {
  const { clock, store, roster } = setUp({});
  roster.remove(HOST);
  await clock.advance(10);
  const before = store.recordsOf(TOPICS.hosts).length;
  await roster.recordPlacements();
  expect(store.recordsOf(TOPICS.hosts).length).toEqual(before);
});
