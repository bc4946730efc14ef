/**
 * Guards against jobs that are shown as begun because a task was placed, although its start
 * was refused: callers take the queue for empty.
 */

import { test } from "node:test";
import { expect } from "earl";
import { Metrics, silentLogger } from "@rackspan/common";
import type { HostCallResult } from "@rackspan/protocol";
import { STARTED_PROGRESS } from "@rackspan/standins";
import {
  decodeProgress,
  encodeSegment,
  JobView,
  segmentKeyOf,
  TOPICS,
  type AcceptedJob,
} from "@rackspan/state";
import { EngineHarness, taskId, type HarnessOptions } from "./engineHarness.js";
import { harnessWithLog } from "./harnessWithLog.js";

/** By then a change must be visible to callers. */
const VISIBLE_MS = 2_000;
const RECORDING: HarnessOptions = {
  policy: { recordsPlacements: true },
  placementsSince: 0,
};
const REFUSED: HostCallResult["kind"] = "refused";

/** What callers see of the job: its state, and whether it counts as pending. */
const shownOf = (
  { store }: EngineHarness,
  job: AcceptedJob,
): { state: string | undefined; isPending: boolean } => {
  const view = new JobView({ logger: silentLogger, metrics: new Metrics() });
  view.addAccepted(job);
  view.applyProgressRecords(store.recordsOf(TOPICS.progress));
  const { id, queue } = job.spec;
  return {
    state: view.stateOf(id),
    isPending: view.countUnstartedJobs(queue) === 1,
  };
};

const PENDING = { state: "queued", isPending: true };
const RUNNING = { state: "running", isPending: false };

const recordsOf = ({ store }: EngineHarness, { spec }: AcceptedJob): number =>
  store.recordsOf(TOPICS.progress).filter(({ key }) => key === String(spec.id))
    .length;

for (const recordsPlacements of [true, false]) {
  const leader = recordsPlacements
    ? "a leader that records placements"
    : "a leader that records none";

  test(`a job whose starts are refused is pending until a task begins, under ${leader}`, async () => {
    const harness = new EngineHarness({
      policy: { recordsPlacements },
      placementsSince: 0,
    });
    const host = await harness.addHost("h1");
    host.answers = REFUSED;
    host.refusal = "unhealthy";
    const job = harness.submit("j", [{}]);
    await harness.run(5_000);
    expect(host.starts.length >= 2).toEqual(true);
    expect(shownOf(harness, job)).toEqual(PENDING);
    host.answers = "ok";
    await harness.run(VISIBLE_MS);
    expect(shownOf(harness, job)).toEqual(RUNNING);
  });
}

test("a job whose start had no answer has begun once its worker lists the task", async () => {
  const harness = new EngineHarness(RECORDING);
  const host = await harness.addHost("h1");
  host.answers = "silent";
  const job = harness.submit("j", [{}]);
  await harness.run(1_000);
  expect(shownOf(harness, job)).toEqual(PENDING);
  const [start] = host.starts;
  if (!start) throw new Error("no start");
  host.startLate(start);
  await harness.run(VISIBLE_MS);
  expect(shownOf(harness, job)).toEqual(RUNNING);
});

test("a run that ended before it was listed shows that its job has begun", async () => {
  const harness = new EngineHarness(RECORDING);
  const host = await harness.addHost("h1");
  host.answers = "silent";
  const job = harness.submit("j", [{}]);
  await harness.clock.advance(50);
  const [start] = host.starts;
  if (!start) throw new Error("no start");
  host.startLate(start);
  host.end(taskId("j.0.0.0"), "stopped");
  host.answers = REFUSED;
  await harness.run(VISIBLE_MS);
  expect(shownOf(harness, job)).toEqual(RUNNING);
});

test("a new leader shows a job as begun whose task it finds, and one as pending whose start was refused", async () => {
  const previous = new EngineHarness(RECORDING);
  const working = await previous.addHost("h1");
  const begun = previous.submit("begun", [{}]);
  await previous.run(100);
  working.answers = REFUSED;
  const refused = previous.submit("refused", [{}]);
  await previous.run(100);
  previous.isLeader = false;
  previous.engine.stop();
  expect(shownOf(previous, begun)).toEqual(PENDING);

  const next = new EngineHarness({
    ...RECORDING,
    clock: previous.clock,
    store: previous.store,
    epoch: 2,
    roster: [working.host],
    placementsSince: 1,
  });
  next.hosts.push(working);
  next.engine.attach(working.host, working);
  for (const job of [begun, refused]) {
    const record = next.store
      .recordsOf(TOPICS.progress)
      .findLast(({ key }) => key === String(job.spec.id));
    const { value } = record ?? {};
    next.engine.addJob(job, value && decodeProgress(job.spec.id, value));
  }
  await next.run(VISIBLE_MS);
  expect(shownOf(next, begun)).toEqual(RUNNING);
  expect(shownOf(next, refused)).toEqual(PENDING);
});

// A checkpoint in the report shows that the job has begun before its run is looked at.
test("a job is shown as begun although its checkpoints are not persisted at an interval", async () => {
  const harness = new EngineHarness({
    ...RECORDING,
    policy: { recordsPlacements: true, checkpointEveryMs: 0 },
  });
  const host = await harness.addHost("h1");
  host.answers = "silent";
  const job = harness.submit("j", [{ checkpointing: true }]);
  await harness.clock.advance(50);
  const [start] = host.starts;
  if (!start) throw new Error("no start");
  host.startLate(start);
  host.saveCheckpoint(taskId("j.0.0.0"), "half");
  await harness.run(VISIBLE_MS);
  expect(shownOf(harness, job)).toEqual(RUNNING);
});

test("a gang has begun once all of its members are present", async () => {
  const harness = new EngineHarness(RECORDING);
  const present = await harness.addHost("h1");
  const missing = await harness.addHost("h2");
  missing.answers = "silent";
  const demand = { milliCores: 32_000, memoryMiB: 100, accelerators: 0 };
  const job = harness.submit("g", [{ taskCount: 2, gang: true, demand }]);
  await harness.run(1_500);
  expect(present.runningTasks.length).toEqual(1);
  expect(shownOf(harness, job).isPending).toEqual(true);
  const [start] = missing.starts;
  if (!start) throw new Error("no start");
  missing.startLate(start);
  await harness.run(VISIBLE_MS);
  expect(shownOf(harness, job)).toEqual(RUNNING);
});

test("that a job has begun costs a short job no record, and a long one a single record", async () => {
  const harness = new EngineHarness(RECORDING);
  const host = await harness.addHost("h1");
  const short = harness.submit("short", [{ taskCount: 4 }]);
  const long = harness.submit("long", [{ taskCount: 4 }]);
  await harness.run(500);
  for (let at = 0; at < 4; at += 1) host.end(taskId(`short.0.0.${at}`), "done");
  await harness.run(2_000);
  expect(shownOf(harness, short).state).toEqual("completed");
  // Those of the placements and of the end.
  expect(recordsOf(harness, short)).toEqual(2);
  expect(recordsOf(harness, long)).toEqual(2);
});

// Earlier versions wrote that a job has begun when they had placed a task.
test("a record of an earlier version shows a job as begun only with other evidence", () => {
  const harness = new EngineHarness();
  const job = harness.submit("j", [{ taskCount: 2 }]);
  const progress = {
    ...STARTED_PROGRESS,
    placed: ["h1 0.0:0-1"],
    placedEpoch: 1,
  };
  const isPendingWith = (
    changes: object,
    segments: ReadonlyMap<string, Buffer> = new Map(),
  ): boolean => {
    const view = new JobView({ logger: silentLogger, metrics: new Metrics() });
    view.addAccepted(job);
    const value = Buffer.from(JSON.stringify({ ...progress, ...changes }));
    const records = [...segments, [String(job.spec.id), value] as const];
    view.applyProgressRecords(records.map(([key, value]) => ({ key, value })));
    return view.countUnstartedJobs(job.spec.queue) === 1;
  };
  expect(isPendingWith({})).toEqual(true);
  expect(isPendingWith({ done: { "0.0": "1" } })).toEqual(false);
  expect(isPendingWith({ failures: [["0.0.0", [7]]] })).toEqual(false);
  expect(isPendingWith({ checkpoints: [["0.0.0", "c"]] })).toEqual(false);
  expect(isPendingWith({ doneOccurrences: "0-3" })).toEqual(false);
  const range = { occurrence: 0, step: 0, first: 0, last: 1 };
  const segment = encodeSegment({
    done: { "0.0": "0" },
    failures: [],
    checkpoints: [],
    crashes: [],
    announced: [],
  });
  const segments = new Map([[segmentKeyOf(job.spec.id, range), segment]]);
  expect(isPendingWith({}, segments)).toEqual(false);
});

test("the wait of a task whose starts are refused is logged, and its job's wait lasts until it begins", async () => {
  const { harness, lines } = harnessWithLog(RECORDING);
  const host = await harness.addHost("h1");
  host.answers = "silent";
  harness.submit("j", [{}]);
  await harness.run(5_000);
  const waits = lines.filter(
    (line) =>
      line.includes("event=task.waits ") && line.includes("task=j.0.0.0 "),
  );
  expect(waits.length >= 1).toEqual(true);
  expect(waits.at(-1) ?? "").toInclude("cause=starting");
  host.answers = "ok";
  await harness.run(5_000);
  const started = lines.find((line) => line.includes("event=job.started "));
  expect(started ?? "").toInclude("job=j ");
  host.end(taskId("j.0.0.0"), "done");
  await harness.run(200);
  const ended = lines.find((line) => line.includes("event=job.ended ")) ?? "";
  const waitedMs = Number(/ waitedMs=(\d+)/.exec(ended)?.[1]);
  expect(waitedMs >= 4_500).toEqual(true);
});
