/** Starts whose placement is persisted before the order is sent. */

import { test } from "node:test";
import { expect } from "earl";
import { DEFAULT_POLICY, ENGINE } from "@rackspan/scheduling";
import {
  decodeProgress,
  TopicWriter,
  TOPICS,
  type ProgressRecord,
} from "@rackspan/state";
import { silentLogger } from "@rackspan/common";
import { StoreRefusedError } from "@rackspan/ports";
import { plainJob } from "@rackspan/standins";
import {
  EngineHarness,
  taskId,
  type FakeHost,
  type HarnessOptions,
} from "./engineHarness.js";

/** Longer than a scheduling cycle, the append of its starts, and their answers. */
const SOON_MS = 60;
/** How long the store is unavailable. */
const OUTAGE_MS = 900;

const recording = (options: HarnessOptions = {}): EngineHarness =>
  new EngineHarness({ ...options, policy: { recordsPlacements: true } });

const lastRecord = (
  { store }: EngineHarness,
  job: string,
): ProgressRecord | undefined => {
  const record = store
    .recordsOf(TOPICS.progress)
    .findLast(({ key }) => key === job);
  return record?.value && decodeProgress(job, record.value);
};

/** A leader with two hosts and one job, whose placement the store does not record yet. */
const createWithUnsentOrder = async () => {
  const harness = recording();
  const first = await harness.addHost("h1");
  harness.store.fault = "refuses";
  const job = harness.submit("j", [{}]);
  await harness.clock.advance(SOON_MS);
  const second = await harness.addHost("h2");
  return { harness, job, first, second };
};

test("placements are not recorded by default", () => {
  expect(DEFAULT_POLICY.recordsPlacements).toEqual(false);
});

// An order that precedes its record may be unknown to the next leader.
test("a start is ordered only once its placement is persisted", async () => {
  const { harness, first, second } = await createWithUnsentOrder();
  await harness.run(OUTAGE_MS);
  expect(first.starts).toEqual([]);
  expect(second.starts).toEqual([]);
  expect(lastRecord(harness, "j")).toEqual(undefined);
  harness.store.fault = "none";
  await harness.run(2 * SOON_MS);
  expect(first.starts.length).toEqual(1);
  const { placed, placedEpoch } = lastRecord(harness, "j") ?? {};
  expect(placed).toEqual(["h1 0.0:0"]);
  expect(placedEpoch).toEqual(harness.epoch);
});

test("without the flag a start does not wait for the store, and records name no hosts", async () => {
  const harness = new EngineHarness();
  const host = await harness.addHost("h1");
  harness.store.fault = "refuses";
  harness.submit("j", [{ taskCount: 2 }]);
  await harness.clock.advance(SOON_MS);
  expect(host.starts.length).toEqual(2);
  harness.store.fault = "none";
  host.end(taskId("j.0.0.0"), "done");
  await harness.run(2 * SOON_MS);
  const value = harness.store.recordsOf(TOPICS.progress).at(-1)?.value;
  expect(Object.keys(JSON.parse(String(value)) as object)).toEqual([
    "state",
    "begun",
    "endedAt",
    "done",
    "failures",
    "checkpoints",
    "crashes",
    "announced",
    "doubted",
  ]);
});

// Counted from the placement, the lease of a delayed order would be over at its arrival.
test("the lease of an order counts from its sending", async () => {
  const { harness, first } = await createWithUnsentOrder();
  await harness.run(OUTAGE_MS);
  harness.store.fault = "none";
  const before = first.at;
  await harness.run(2 * SOON_MS);
  const leaseUntil = first.starts[0]?.leaseUntil ?? 0;
  expect(leaseUntil >= before + ENGINE.startLeaseMs).toEqual(true);
});

test("the starts of one scheduling cycle share one append", async () => {
  const harness = recording();
  const host = await harness.addHost("h1");
  const { appends } = harness.store;
  for (let nth = 0; nth < 5; nth += 1) harness.submit(`j${nth}`, [{}]);
  await harness.clock.advance(SOON_MS);
  expect(host.starts.length).toEqual(5);
  expect(harness.store.appends - appends).toEqual(1);
});

test("a job that is cancelled before its order is sent is neither started nor stopped", async () => {
  const { harness, job, first, second } = await createWithUnsentOrder();
  harness.engine.cancelJob(job.spec.id);
  harness.store.fault = "none";
  await harness.run(OUTAGE_MS);
  for (const { starts, stops } of [first, second]) {
    expect(starts).toEqual([]);
    expect(stops).toEqual([]);
  }
});

// Such a run never was at the worker that crashed.
test("a run whose order was not sent leaves no evidence when its worker is replaced", async () => {
  const { harness, first } = await createWithUnsentOrder();
  first.replaceWorker();
  await harness.run(SOON_MS);
  harness.store.fault = "none";
  await harness.run(OUTAGE_MS);
  expect(await harness.metrics.total("task_crashes")).toEqual(0);
  expect(lastRecord(harness, "j")?.crashes).toEqual([]);
  const starts = harness.hosts.flatMap((host) => host.starts);
  expect(starts.length).toEqual(1);
});

test("a run whose order was not sent is placed on another host when its host drains", async () => {
  const { harness, first, second } = await createWithUnsentOrder();
  first.draining = true;
  await harness.run(SOON_MS);
  harness.store.fault = "none";
  await harness.run(OUTAGE_MS);
  expect(first.starts).toEqual([]);
  expect(second.starts.length).toEqual(1);
  expect(lastRecord(harness, "j")?.placed).toEqual(["h2 0.0:0"]);
});

test("a run whose order was not sent is placed on another host when its host is silent", async () => {
  const { harness, first, second } = await createWithUnsentOrder();
  await harness.run(ENGINE.quietMs, [second]);
  harness.store.fault = "none";
  await harness.run(OUTAGE_MS, [second]);
  expect(first.starts).toEqual([]);
  expect(second.starts.length).toEqual(1);
});

test("a run whose order was not sent is placed on another host when its host is detached", async () => {
  const { harness, first, second } = await createWithUnsentOrder();
  harness.engine.detach(first.host, first);
  harness.store.fault = "none";
  await harness.run(OUTAGE_MS, [second]);
  expect(first.starts).toEqual([]);
  expect(second.starts.length).toEqual(1);
});

test("an order is not sent without authority, and its task starts once that is back", async () => {
  const { harness, first, second } = await createWithUnsentOrder();
  harness.isLeader = false;
  harness.store.fault = "none";
  await harness.run(OUTAGE_MS);
  expect([...first.starts, ...second.starts]).toEqual([]);
  harness.isLeader = true;
  await harness.run(OUTAGE_MS);
  expect([...first.starts, ...second.starts].length).toEqual(1);
});

test("an order is never sent if another leader has taken over before its record", async () => {
  const { harness, first, second } = await createWithUnsentOrder();
  const { clock, store } = harness;
  store.fault = "none";
  const writer = new TopicWriter({
    topic: TOPICS.progress,
    store,
    clock,
    logger: silentLogger,
    producer: "leader",
    epoch: harness.epoch + 1,
    batchWindowMs: 0,
    retriesRefusedBatches: true,
  });
  await writer.fenceLowerEpochs();
  await harness.run(2 * OUTAGE_MS);
  expect([...first.starts, ...second.starts]).toEqual([]);
});

// A waiting task may start anywhere; a record that names its last host would delay it.
test("the record of a task whose run is over names no host", async () => {
  const harness = recording();
  const host = await harness.addHost("h1");
  harness.submit("j", [{ taskCount: 2 }]);
  await harness.run(SOON_MS);
  // Without authority the task is not placed again.
  harness.isLeader = false;
  host.end(taskId("j.0.0.0"), "failed");
  await harness.run(OUTAGE_MS);
  const { placed, failures } = lastRecord(harness, "j") ?? {};
  expect(failures?.length).toEqual(1);
  expect(placed).toEqual(["h1 0.0:1"]);
});

/** A gang of two whose placement the store does not record yet, on two of three hosts. */
const createWithUnsentGang = async () => {
  const harness = recording();
  const hosts = [await harness.addHost("h1"), await harness.addHost("h2")];
  harness.store.fault = "refuses";
  harness.submit("g", [{ taskCount: 2, gang: true, maxPerHost: 1 }]);
  await harness.clock.advance(SOON_MS);
  hosts.push(await harness.addHost("h3"));
  return { harness, hosts };
};

const startsOf = (hosts: readonly FakeHost[]): number[] =>
  hosts.map(({ starts }) => starts.length);

// The end of one member would complete the gang, although the others never ran.
test("no member of a gang is started if the order of one may not be sent", async () => {
  const { harness, hosts } = await createWithUnsentGang();
  const [, second] = hosts;
  if (second) second.draining = true;
  await harness.run(SOON_MS);
  harness.store.fault = "none";
  await harness.run(OUTAGE_MS);
  expect(startsOf(hosts)).toEqual([1, 0, 1]);
  const runs = hosts.flatMap(({ starts }) => starts.map(({ run }) => run));
  expect(new Set(runs).size).toEqual(1);
});

test("no member of a gang is started if the run of one was withdrawn before", async () => {
  const { harness, hosts } = await createWithUnsentGang();
  hosts[1]?.replaceWorker();
  await harness.run(SOON_MS, hosts.slice(1, 2));
  harness.store.fault = "none";
  await harness.run(OUTAGE_MS);
  const runs = hosts.flatMap(({ starts }) => starts.map(({ run }) => run));
  expect(runs.length).toEqual(2);
  expect(new Set(runs).size).toEqual(1);
});

// Kept placed, the task would not be started again in this term.
test("a start is repeated if its record fails for another reason than a takeover", async () => {
  const harness = recording();
  const host = await harness.addHost("h1");
  const { store } = harness;
  const append = store.append.bind(store);
  store.append = async (request) => {
    if (request.topic === TOPICS.progress) throw new Error("answer 413");
    return append(request);
  };
  harness.submit("j", [{}]);
  await harness.run(SOON_MS);
  expect(host.starts).toEqual([]);
  store.append = append;
  await harness.run(ENGINE.unrecordedPauseMs + SOON_MS);
  expect(host.starts.length).toEqual(1);
});

// The host would repeat such ends in all its reports until the next change of leader.
test("ends are acknowledged once a refused record of their job is written again", async () => {
  const harness = recording();
  const host = await harness.addHost("h1");
  harness.submit("j", [{ taskCount: 2 }, { lasting: true }]);
  await harness.run(SOON_MS);
  const writeTogether = TopicWriter.prototype.writeTogether;
  const write = TopicWriter.prototype.write;
  const refuse = () => ({
    persisted: Promise.reject(new StoreRefusedError("full")),
    abandon: () => true,
  });
  TopicWriter.prototype.writeTogether = (records) => records.map(refuse);
  TopicWriter.prototype.write = refuse;
  try {
    host.end(taskId("j.0.0.0"), "failed");
    await harness.run(SOON_MS);
    host.end(taskId("j.0.0.1"), "lapsed");
    await harness.run(SOON_MS);
    expect(host.acknowledged).toEqual(0);
  } finally {
    Object.assign(TopicWriter.prototype, { writeTogether, write });
  }
  await harness.run(OUTAGE_MS);
  expect(host.acknowledged).toEqual(2);
  expect(lastRecord(harness, "j")?.failures.length).toEqual(1);
});

// A crash of the worker could not be attributed to the suspect task alone.
test("a run whose order was not sent is withdrawn if its host gets an isolated run", async () => {
  const harness = recording();
  const host = await harness.addHost("h1");
  const submit = (id: string, priority: number): void => {
    const acceptedAt = harness.clock.now();
    const job = plainJob({ id, steps: [{}], terms: { priority }, acceptedAt });
    harness.engine.addJob(job, undefined);
  };
  submit("s", 2);
  await harness.run(SOON_MS);
  host.replaceWorker();
  host.draining = true;
  await harness.run(2 * OUTAGE_MS);
  expect(lastRecord(harness, "s")?.announced.length).toEqual(1);
  harness.store.fault = "refuses";
  submit("a", 0);
  host.draining = false;
  await harness.run(SOON_MS);
  harness.store.fault = "none";
  await harness.run(2 * SOON_MS);
  const started = host.starts.map(({ task }) => String(task));
  expect(started).toEqual(["s.0.0.0", "s.0.0.0"]);
  expect(await harness.metrics.total("placements_unsent")).toEqual(1);
});
