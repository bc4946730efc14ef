import { test } from "node:test";
import { expect } from "earl";
import { brand, type HostId } from "@rackspan/common";
import { decodeProgress, TOPICS } from "@rackspan/state";
import {
  EngineHarness,
  type FakeHost,
  LEASE_MS,
  taskId,
  LEADERSHIP_TTL_MS,
} from "./engineHarness.js";

const lastProgress = (harness: EngineHarness, job: string) => {
  const record = harness.store
    .recordsOf(TOPICS.progress)
    .findLast(({ key }) => key === job);
  return record?.value && decodeProgress(job, record.value);
};

const startsOf = (host: FakeHost, task: string): number =>
  host.starts.filter((start) => start.task === taskId(task)).length;

test("a job runs step by step, and its ends are persisted before they are acknowledged", async () => {
  const harness = new EngineHarness();
  const host = await harness.addHost("h1");
  harness.submit("j", [{ taskCount: 2 }, { after: [0] }]);
  await harness.run(100);
  expect(host.runningTasks).toEqual([taskId("j.0.0.0"), taskId("j.0.0.1")]);
  host.end(taskId("j.0.0.0"), "done");
  await harness.run(100);
  expect(host.isRunning(taskId("j.0.1.0"))).toEqual(false);
  harness.store.fault = "refuses";
  host.end(taskId("j.0.0.1"), "done");
  await harness.run(300);
  expect(host.isRunning(taskId("j.0.1.0"))).toEqual(true);
  expect(host.acknowledged).toEqual(1);
  harness.store.fault = "none";
  await harness.run(300);
  expect(host.acknowledged).toEqual(2);
  host.end(taskId("j.0.1.0"), "done");
  await harness.run(200);
  expect(lastProgress(harness, "j")?.state).toEqual("completed");
});

test("a report that shows nothing new neither renews the lease nor makes the host usable", async () => {
  const harness = new EngineHarness();
  const host = await harness.addHost("h1");
  harness.submit("first", [{}]);
  await harness.run(100);
  const stale = host.report();
  harness.reportOf(host);
  await harness.clock.advance(3_000);
  // The side has attached again, but its worker has been silent since the report.
  harness.engine.attach(host.host, host);
  const grant = harness.engine.handleReport(
    host.host,
    brand("obihiro-a"),
    stale,
  );
  expect(grant.leaseUntil).toEqual(undefined);
  harness.submit("second", [{}]);
  await harness.clock.advance(500);
  expect(host.starts.map(({ task }) => task)).toEqual([taskId("first.0.0.0")]);
});

test("tasks of a silent host start elsewhere only when its lease has expired", async () => {
  const harness = new EngineHarness();
  const lost = await harness.addHost("h1");
  harness.submit("j", [{ lasting: true }]);
  await harness.run(200);
  expect(lost.isRunning(taskId("j.0.0.0"))).toEqual(true);
  const other = await harness.addHost("h2");
  harness.engine.detach(lost.host, lost);
  await harness.run(LEASE_MS - 200, [other]);
  expect(other.starts.length).toEqual(0);
  await harness.run(700, [other]);
  expect(other.isRunning(taskId("j.0.0.0"))).toEqual(true);
});

test("a new incarnation of the worker frees the tasks of the previous one immediately", async () => {
  const harness = new EngineHarness();
  const host = await harness.addHost("h1");
  harness.submit("j", [{}]);
  await harness.run(100);
  host.replaceWorker();
  await harness.run(200);
  const [first, second] = host.starts;
  expect(second?.task).toEqual(first?.task as never);
  expect((second?.run ?? 0) > (first?.run ?? 0)).toEqual(true);
});

test("a task whose order has no answer is not ordered again before the order expires", async () => {
  const harness = new EngineHarness();
  const silent = await harness.addHost("h1");
  silent.answers = "silent";
  harness.submit("j", [{}]);
  await harness.run(100);
  expect(silent.starts.length).toEqual(1);
  await harness.run(1_500);
  expect(silent.starts.length).toEqual(1);
  silent.answers = "ok";
  await harness.run(2_000);
  expect(silent.starts.length).toEqual(2);
});

test("an order that is executed late is recognized and not repeated", async () => {
  const harness = new EngineHarness();
  const silent = await harness.addHost("h1");
  silent.answers = "silent";
  harness.submit("j", [{}]);
  await harness.run(100);
  silent.startLate(silent.starts[0] as never);
  await harness.run(2_000);
  silent.setProgress(taskId("j.0.0.0"), 95);
  await harness.run(2_000);
  expect(silent.starts.length).toEqual(1);
  silent.end(taskId("j.0.0.0"), "done");
  await harness.run(200);
  expect(lastProgress(harness, "j")?.state).toEqual("completed");
});

test("a new leader starts nothing that a silent host may still be running", async () => {
  const silentHost = brand<HostId>("h1");
  const harness = new EngineHarness({ epoch: 2, roster: [silentHost] });
  harness.submit("j", [{}]);
  const other = await harness.addHost("h2");
  await harness.run(LEADERSHIP_TTL_MS + LEASE_MS - 200);
  expect(other.starts.length).toEqual(0);
  await harness.run(1_000);
  expect(other.starts.length).toEqual(1);
});

test("a new leader continues as soon as every host of the roster has reported", async () => {
  const before = new EngineHarness();
  const host = await before.addHost("h1");
  before.submit("j", [{ taskCount: 2 }]);
  await before.run(100);
  const after = new EngineHarness({
    epoch: 2,
    roster: [host.host],
    clock: before.clock,
  });
  before.isLeader = false;
  after.submit("j", [{ taskCount: 2 }]);
  after.submit("k", [{}]);
  after.engine.attach(host.host, host);
  await after.clock.advance(10);
  after.hosts.push(host);
  await after.run(200);
  expect(host.starts.map(({ task }) => task)).toEqual([
    taskId("j.0.0.0"),
    taskId("j.0.0.1"),
    taskId("k.0.0.0"),
  ]);
});

test("cancelled jobs are stopped, and so are orphan runs of ended jobs", async () => {
  const harness = new EngineHarness();
  const host = await harness.addHost("h1");
  const { spec } = harness.submit("j", [{ lasting: true }]);
  await harness.run(100);
  harness.engine.cancelJob(spec.id);
  await harness.run(200);
  expect(host.runningTasks).toEqual([]);
  expect(lastProgress(harness, "j")?.state).toEqual("cancelled");
  host.startLate(host.starts[0] as never);
  await harness.run(200);
  expect(host.runningTasks).toEqual([]);
});

test("a task is not started again once all its attempts have failed", async () => {
  const harness = new EngineHarness();
  const host = await harness.addHost("h1");
  harness.submit("j", [{}]);
  await harness.run(100);
  host.end(taskId("j.0.0.0"), "failed");
  await harness.run(200);
  host.end(taskId("j.0.0.0"), "failed");
  await harness.run(300);
  expect(host.starts.length).toEqual(2);
  expect(lastProgress(harness, "j")?.state).toEqual("failed");
});

test("lasting tasks move from a draining host to another one with their checkpoint", async () => {
  const harness = new EngineHarness();
  const leaving = await harness.addHost("h1");
  harness.submit("j", [{ lasting: true }]);
  await harness.run(100);
  const other = await harness.addHost("h2");
  leaving.draining = true;
  await harness.run(300);
  expect(leaving.runningTasks).toEqual([]);
  expect(other.isRunning(taskId("j.0.0.0"))).toEqual(true);
  expect(other.starts[0]?.checkpoint).toEqual(
    `saved-${leaving.starts[0]?.run}`,
  );
});

test("a task that was done before its worker's lease lapsed does not run again", async () => {
  const harness = new EngineHarness();
  const host = await harness.addHost("h1");
  harness.submit("j", [{ taskCount: 2 }]);
  await harness.run(100);
  host.end(taskId("j.0.0.0"), "done");
  host.end(taskId("j.0.0.1"), "lapsed");
  await harness.run(200);
  expect(startsOf(host, "j.0.0.0")).toEqual(1);
  expect(startsOf(host, "j.0.0.1")).toEqual(2);
  host.end(taskId("j.0.0.1"), "done");
  await harness.run(200);
  expect(lastProgress(harness, "j")?.state).toEqual("completed");
});

test("a task that was done while leaders were too slow to hear of it does not run again", async () => {
  const before = new EngineHarness();
  const host = await before.addHost("h1");
  before.submit("j", [{ taskCount: 2 }]);
  await before.run(100);
  host.end(taskId("j.0.0.0"), "done");
  // No leader takes a report until the worker's lease is over.
  before.isLeader = false;
  await before.clock.advance(LEASE_MS);
  host.end(taskId("j.0.0.1"), "lapsed");
  const after = new EngineHarness({
    epoch: 2,
    roster: [host.host],
    clock: before.clock,
  });
  after.submit("j", [{ taskCount: 2 }]);
  after.engine.attach(host.host, host);
  after.hosts.push(host);
  await after.run(200);
  expect(startsOf(host, "j.0.0.0")).toEqual(1);
  expect(startsOf(host, "j.0.0.1")).toEqual(2);
});

test("a host that refuses a start gets no start orders for a while", async () => {
  const harness = new EngineHarness();
  const host = await harness.addHost("h1");
  host.answers = "refused";
  harness.submit("j", [{}]);
  await harness.run(300);
  expect(host.starts.length).toEqual(1);
  await harness.run(400);
  expect(host.starts.length).toEqual(2);
});

test("a host whose worker was replaced gets no start orders until it reports the next incarnation", async () => {
  const harness = new EngineHarness();
  const host = await harness.addHost("h1");
  host.answers = "replaced";
  harness.submit("j", [{}]);
  await harness.clock.advance(300);
  expect(host.starts.length).toEqual(1);
  host.replaceWorker();
  host.answers = "ok";
  harness.reportOf(host);
  await harness.run(100);
  expect(host.isRunning(taskId("j.0.0.0"))).toEqual(true);
});

test("failures of a worker's previous incarnation do not eject the next one", async () => {
  const harness = new EngineHarness();
  const host = await harness.addHost("h1");
  for (const job of ["a", "b", "c"]) {
    harness.submit(job, [{}]);
    await harness.run(100);
    host.end(taskId(`${job}.0.0.0`), "failed");
    await harness.run(20);
    harness.engine.cancelJob(brand(job));
    await harness.run(100);
  }
  const other = await harness.addHost("h2");
  host.replaceWorker();
  harness.reportOf(host);
  harness.submit("j", [{ taskCount: 2, maxPerHost: 1 }]);
  await harness.run(300);
  expect(host.runningTasks.length).toEqual(1);
  expect(other.runningTasks.length).toEqual(1);
});

test("plain tasks are moved off a host that is slower than others with the same step", async () => {
  const harness = new EngineHarness();
  const slow = await harness.addHost("h1");
  const others = [await harness.addHost("h2"), await harness.addHost("h3")];
  harness.submit("j", [{ taskCount: 9, estimateMs: 60_000 }]);
  await harness.run(100);
  const stuck = slow.runningTasks;
  expect(stuck.length).toEqual(3);
  for (let percent = 1; percent <= 10; percent += 1) {
    for (const task of stuck) slow.setProgress(task, percent);
    for (const host of others) {
      for (const task of host.runningTasks) host.setProgress(task, percent * 8);
    }
    await harness.run(200);
  }
  expect(slow.runningTasks).toEqual([]);
  harness.submit("k", [{ taskCount: 2 }]);
  await harness.run(100);
  expect(slow.runningTasks).toEqual([]);
});

test("tasks that are slow on all hosts are not moved", async () => {
  const harness = new EngineHarness();
  const hosts = [await harness.addHost("h1"), await harness.addHost("h2")];
  harness.submit("j", [{ taskCount: 8, estimateMs: 100 }]);
  await harness.run(100);
  for (let percent = 1; percent <= 10; percent += 1) {
    for (const host of hosts) {
      for (const task of host.runningTasks) host.setProgress(task, percent);
    }
    await harness.run(200);
  }
  expect(hosts.flatMap(({ stops }) => stops)).toEqual([]);
});

test("ends that change nothing do not acknowledge earlier ones that are not persisted", async () => {
  const harness = new EngineHarness();
  const host = await harness.addHost("h1");
  harness.submit("j", [{ taskCount: 2 }]);
  harness.submit("k", [{ lasting: true }]);
  await harness.run(100);
  harness.store.fault = "refuses";
  host.end(taskId("j.0.0.0"), "done");
  await harness.run(200);
  host.end(taskId("k.0.0.0"), "lapsed");
  await harness.run(200);
  expect(host.acknowledged).toEqual(0);
  harness.store.fault = "none";
  await harness.run(300);
  expect(host.acknowledged).toEqual(2);
});

test("the deregistration of a worker frees its tasks immediately", async () => {
  const harness = new EngineHarness();
  const leaving = await harness.addHost("h1");
  harness.submit("j", [{ lasting: true }]);
  await harness.run(100);
  const other = await harness.addHost("h2");
  harness.engine.handleWorkerGone(leaving.host, leaving.instance);
  await harness.run(100, [other]);
  expect(other.runningTasks.length).toEqual(1);
});

test("a new leader counts all failures in whatever order they are reported", async () => {
  const before = new EngineHarness();
  const first = await before.addHost("h1");
  before.submit("j", [{}]);
  await before.run(100);
  before.store.fault = "refuses";
  first.end(taskId("j.0.0.0"), "failed");
  first.draining = true;
  const second = await before.addHost("h2");
  await before.run(200);
  second.end(taskId("j.0.0.0"), "failed");
  const after = new EngineHarness({
    epoch: 2,
    roster: [first.host, second.host],
    clock: before.clock,
  });
  before.isLeader = false;
  after.submit("j", [{}]);
  for (const host of [second, first]) {
    after.engine.attach(host.host, host);
    await after.clock.advance(5);
    after.reportOf(host);
  }
  await after.run(200);
  expect(lastProgress(after, "j")?.state).toEqual("failed");
  expect(first.starts.length + second.starts.length).toEqual(2);
});

test("a filling job does not wait forever for hosts whose serving tasks it would disturb", async () => {
  const harness = new EngineHarness();
  const host = await harness.addHost("h1");
  const image = "web" as never;
  harness.submit("s", [{ lasting: true, tailTargetMs: 10, image }]);
  await harness.run(100);
  const server = taskId("s.0.0.0");
  host.setProgress(server, 100);
  host.setReading(server, 30);
  await harness.run(6_000);
  harness.submit("f", [{ filling: true, image: "render" as never }]);
  await harness.run(1_000);
  expect(host.isRunning(taskId("f.0.0.0"))).toEqual(false);
  await harness.run(1_500);
  expect(host.isRunning(taskId("f.0.0.0"))).toEqual(true);
});

test("a large lasting task gets a host that is reserved against plain tasks", async () => {
  const harness = new EngineHarness();
  const host = await harness.addHost("h1");
  const cores = (milliCores: number) => ({
    demand: { milliCores, memoryMiB: 10, accelerators: 0 },
  });
  harness.submit("p0", [{ taskCount: 30, ...cores(1_000) }]);
  await harness.run(100);
  harness.submit("s", [{ lasting: true, tailTargetMs: 5, ...cores(10_000) }]);
  for (let turn = 1; turn <= 40; turn += 1) {
    harness.submit(`p${turn}`, [{ ...cores(1_000) }]);
    await harness.run(100);
    const [oldest] = host.runningTasks.filter((task) => task.startsWith("p"));
    if (oldest) host.end(oldest, "done");
  }
  expect(host.isRunning(taskId("s.0.0.0"))).toEqual(true);
});

test("a step whose ticket is refused does not block other work on the host", async () => {
  const harness = new EngineHarness();
  const host = await harness.addHost("h1");
  host.answers = "refused";
  host.refusal = "bad-ticket";
  harness.submit("permit", [{}]);
  await harness.run(30);
  host.answers = "ok";
  harness.submit("plain", [{}]);
  await harness.run(30);
  expect(host.runningTasks).toEqual([taskId("plain.0.0.0")]);
});

test("a side that attaches again receives the descriptions of its host's tasks", async () => {
  const harness = new EngineHarness();
  const host = await harness.addHost("h1");
  harness.submit("j", [{ taskCount: 2, filling: true }]);
  await harness.run(200);
  expect(host.describedTasks).toEqual([]);
  harness.engine.detach(host.host, host);
  harness.engine.attach(host.host, host);
  expect(host.describedTasks).toEqual([taskId("j.0.0.0"), taskId("j.0.0.1")]);
});

test("a crawling filling task resumes elsewhere from its checkpoint, but leaves each host once", async () => {
  const harness = new EngineHarness();
  const hosts = [await harness.addHost("h1"), await harness.addHost("h2")];
  harness.submit("f", [{ filling: true, checkpointing: true }]);
  await harness.run(100);
  const task = taskId("f.0.0.0");
  const [first, second] = hosts[0]?.isRunning(task) ? hosts : hosts.reverse();
  if (!first || !second) throw new Error("expected two hosts");
  first.setReading(task, 100);
  second.setReading(task, 100);
  await harness.run(1_000);
  expect(first.stops.length).toEqual(0);
  await harness.run(700);
  expect(first.stops.length).toEqual(1);
  expect(second.isRunning(task)).toEqual(true);
  expect(second.starts[0]?.checkpoint).toEqual(`saved-${first.starts[0]?.run}`);
  // The task crawls on both hosts, so it is not moved any further.
  await harness.run(6_000);
  expect(first.stops.length + second.stops.length).toEqual(2);
});

test("a crawling filling task without checkpoints is not moved", async () => {
  const harness = new EngineHarness();
  const host = await harness.addHost("h1");
  await harness.addHost("h2");
  harness.submit("f", [{ taskCount: 2, maxPerHost: 1, filling: true }]);
  await harness.run(100);
  for (const task of host.runningTasks) host.setReading(task, 50);
  await harness.run(3_000);
  expect(host.stops.length).toEqual(0);
});

/** A host with runs of a previous leader's job, and the leader that takes over. */
const takeOverCancelled = async () => {
  const before = new EngineHarness();
  const host = await before.addHost("h1");
  const quarter = { milliCores: 8_000, memoryMiB: 1_000, accelerators: 0 };
  before.submit("old", [{ taskCount: 4, demand: quarter }]);
  await before.run(100);
  before.isLeader = false;
  host.stopsAtOnce = false;
  const after = new EngineHarness({
    epoch: 2,
    roster: [host.host],
    clock: before.clock,
  });
  return { after, host, quarter };
};

test("orphan runs of a previous leader occupy resources until they have ended", async () => {
  const { after, host, quarter } = await takeOverCancelled();
  const old = after.submit("old", [{ taskCount: 4, demand: quarter }]);
  after.engine.cancelJob(old.spec.id);
  after.submit("new", [{ taskCount: 1, demand: quarter }]);
  after.engine.attach(host.host, host);
  after.hosts.push(host);
  await after.run(300);
  expect(host.stops.length > 0).toEqual(true);
  expect(host.isRunning(taskId("new.0.0.0"))).toEqual(false);
  host.end(taskId("old.0.0.2"), "stopped");
  await after.run(200);
  expect(host.isRunning(taskId("new.0.0.0"))).toEqual(true);
});

test("an orphan run of a job without a record occupies its whole host until it has ended", async () => {
  const { after, host, quarter } = await takeOverCancelled();
  for (const index of [1, 2, 3]) host.end(taskId(`old.0.0.${index}`), "done");
  after.submit("new", [{ taskCount: 1, demand: quarter }]);
  after.engine.attach(host.host, host);
  after.hosts.push(host);
  await after.run(300);
  expect(host.isRunning(taskId("new.0.0.0"))).toEqual(false);
  host.end(taskId("old.0.0.0"), "stopped");
  await after.run(200);
  expect(host.isRunning(taskId("new.0.0.0"))).toEqual(true);
});

test("checkpoints of running tasks are persisted before any task of the job ends", async () => {
  const harness = new EngineHarness();
  const host = await harness.addHost("h1");
  harness.submit("j", [{ checkpointing: true }]);
  await harness.run(100);
  host.saveCheckpoint(taskId("j.0.0.0"), "half");
  await harness.run(1_300);
  expect(lastProgress(harness, "j")?.checkpoints).toEqual([["0.0.0", "half"]]);
  const kept = harness.store.recordsOf(TOPICS.progress).length;
  await harness.run(1_500);
  expect(harness.store.recordsOf(TOPICS.progress).length).toEqual(kept);
});

test("checkpoints are persisted only together with ends if their interval is 0", async () => {
  const harness = new EngineHarness({ policy: { checkpointEveryMs: 0 } });
  const host = await harness.addHost("h1");
  harness.submit("j", [{ checkpointing: true }]);
  // The record that the job has begun is written before there is a checkpoint.
  await harness.run(1_200);
  const recorded = harness.store.recordsOf(TOPICS.progress).length;
  host.saveCheckpoint(taskId("j.0.0.0"), "half");
  await harness.run(1_500);
  expect(lastProgress(harness, "j")?.checkpoints).toEqual([]);
  expect(harness.store.recordsOf(TOPICS.progress).length).toEqual(recorded);
});

test("failures that are reported while another run is active count as attempts", async () => {
  const before = new EngineHarness();
  const first = await before.addHost("h1");
  before.submit("j", [{}]);
  await before.run(100);
  const { starts } = first;
  // The end is listed, but the leader that processes it cannot persist it.
  before.store.fault = "refuses";
  first.end(taskId("j.0.0.0"), "failed");
  const second = await before.addHost("h2");
  await before.run(300);
  expect(starts.length + second.starts.length).toEqual(2);
  expect(second.isRunning(taskId("j.0.0.0"))).toEqual(true);
  before.isLeader = false;
  const after = new EngineHarness({
    epoch: 2,
    roster: [first.host, second.host],
    clock: before.clock,
  });
  after.submit("j", [{}]);
  for (const host of [second, first]) {
    after.engine.attach(host.host, host);
    after.reportOf(host);
    after.hosts.push(host);
  }
  await after.run(200);
  second.end(taskId("j.0.0.0"), "failed");
  await after.run(300);
  expect(lastProgress(after, "j")?.state).toEqual("failed");
  expect(starts.length + second.starts.length).toEqual(2);
});

test("a new leader restores what the previous one has learned about images", async () => {
  const before = new EngineHarness();
  const host = await before.addHost("h1");
  const image = "web" as never;
  before.submit("s", [{ lasting: true, tailTargetMs: 10, image }]);
  before.submit("f", [{ filling: true, image: "render" as never }]);
  await before.run(100);
  host.setProgress(taskId("s.0.0.0"), 100);
  host.setReading(taskId("s.0.0.0"), 30);
  host.setReading(taskId("f.0.0.0"), 4_000);
  await before.run(2_500);
  const [record] = before.learned;
  expect(record?.kind).toEqual("tail");
  before.isLeader = false;
  const after = new EngineHarness({ epoch: 2, clock: before.clock });
  after.engine.restoreLearned(before.learned.slice(0, 1));
  after.submit("s", [{ lasting: true, tailTargetMs: 10, image }]);
  after.submit("f", [{ filling: true, image: "render" as never }]);
  after.engine.attach(host.host, host);
  const [known] = after.reportOf(host).disturbances ?? [];
  expect((known?.weight ?? 0) > 0.1).toEqual(true);
});

test("nothing learned is persisted if that is disabled", async () => {
  const harness = new EngineHarness({ policy: { learntEveryMs: 0 } });
  const host = await harness.addHost("h1");
  harness.submit("j", [{ estimateMs: 100 }]);
  await harness.run(200);
  host.end(taskId("j.0.0.0"), "done");
  await harness.run(5_000);
  expect(harness.learned).toEqual([]);
});
