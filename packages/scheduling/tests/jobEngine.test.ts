import { test } from "node:test";
import { expect } from "earl";
import { brand, type HostId } from "@rackspan/common";
import { decodeProgress, TOPICS } from "@rackspan/state";
import {
  EngineHarness,
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

test("a job runs step by step, and its ends are kept before the worker may forget them", async () => {
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
  // The side has attached again, but its worker has been silent since.
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

test("tasks of a silent host start elsewhere only when its lease is over", async () => {
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

test("another life of the worker frees the tasks of the old one at once", async () => {
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

test("an order without an answer is not given elsewhere before it lapses", async () => {
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

test("an order that is carried out late is taken note of, not repeated", async () => {
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

test("a new leader starts nothing that a silent host may still run", async () => {
  const silentHost = brand<HostId>("h1");
  const harness = new EngineHarness({ epoch: 2, roster: [silentHost] });
  harness.submit("j", [{}]);
  const other = await harness.addHost("h2");
  await harness.run(LEADERSHIP_TTL_MS + LEASE_MS - 200);
  expect(other.starts.length).toEqual(0);
  await harness.run(1_000);
  expect(other.starts.length).toEqual(1);
});

test("a new leader goes on at once when every host of the roster has reported", async () => {
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

test("cancelled jobs are stopped, and strays of jobs that ended as well", async () => {
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

test("a task is started no more once its attempts have failed", async () => {
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

test("lasting tasks leave a draining host for another one, with their checkpoint", async () => {
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

test("an end that the worker's lease has outlived does not count", async () => {
  const harness = new EngineHarness();
  const host = await harness.addHost("h1");
  harness.submit("j", [{ taskCount: 2 }]);
  await harness.run(100);
  host.end(taskId("j.0.0.0"), "done");
  host.end(taskId("j.0.0.1"), "lapsed");
  await harness.run(200);
  expect(host.starts.length).toEqual(4);
});

test("a host that refuses a start is left alone for a while", async () => {
  const harness = new EngineHarness();
  const host = await harness.addHost("h1");
  host.answers = "refused";
  harness.submit("j", [{}]);
  await harness.run(300);
  expect(host.starts.length).toEqual(1);
  await harness.run(400);
  expect(host.starts.length).toEqual(2);
});

test("a host whose worker was replaced is left alone until it reports the next one", async () => {
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

test("failures of a worker's former life do not keep its next one out of service", async () => {
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

test("plain tasks leave a host that falls behind others with the same step", async () => {
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

test("tasks that are long everywhere are left where they are", async () => {
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

test("ends that change nothing do not acknowledge earlier ones that are not kept", async () => {
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

test("a worker that says that it has ended frees its tasks at once", async () => {
  const harness = new EngineHarness();
  const leaving = await harness.addHost("h1");
  harness.submit("j", [{ lasting: true }]);
  await harness.run(100);
  const other = await harness.addHost("h2");
  harness.engine.handleWorkerGone(leaving.host, leaving.instance);
  await harness.run(100, [other]);
  expect(other.runningTasks.length).toEqual(1);
});

test("failures that a new leader hears of in any order are all counted", async () => {
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

test("a filling job does not wait for ever beside serving tasks that it would disturb", async () => {
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

test("a large lasting task gets a host that plain tasks are kept off", async () => {
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

test("a step without a permit keeps no other work from the host", async () => {
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

test("a side that attaches again is told what runs on its host", async () => {
  const harness = new EngineHarness();
  const host = await harness.addHost("h1");
  harness.submit("j", [{ taskCount: 2, filling: true }]);
  await harness.run(200);
  expect(host.describedTasks).toEqual([]);
  harness.engine.detach(host.host, host);
  harness.engine.attach(host.host, host);
  expect(host.describedTasks).toEqual([taskId("j.0.0.0"), taskId("j.0.0.1")]);
});

test("a filling task that crawls goes on elsewhere from its checkpoint, once a host", async () => {
  const harness = new EngineHarness();
  const hosts = [await harness.addHost("h1"), await harness.addHost("h2")];
  harness.submit("f", [{ filling: true, checkpointing: true }]);
  await harness.run(100);
  const task = taskId("f.0.0.0");
  const [first, second] = hosts[0]?.isRunning(task) ? hosts : hosts.reverse();
  if (!first || !second) throw new Error("there are two hosts");
  first.setReading(task, 100);
  second.setReading(task, 100);
  await harness.run(1_000);
  expect(first.stops.length).toEqual(0);
  await harness.run(700);
  expect(first.stops.length).toEqual(1);
  expect(second.isRunning(task)).toEqual(true);
  expect(second.starts[0]?.checkpoint).toEqual(`saved-${first.starts[0]?.run}`);
  // It crawls everywhere: moving it about does not help.
  await harness.run(6_000);
  expect(first.stops.length + second.stops.length).toEqual(2);
});

test("a filling task that does not save its progress is not moved for crawling", async () => {
  const harness = new EngineHarness();
  const host = await harness.addHost("h1");
  await harness.addHost("h2");
  harness.submit("f", [{ taskCount: 2, maxPerHost: 1, filling: true }]);
  await harness.run(100);
  for (const task of host.runningTasks) host.setReading(task, 50);
  await harness.run(3_000);
  expect(host.stops.length).toEqual(0);
});

/** A host on which a former leader started a job that its caller then cancelled. */
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

test("runs of a former leader that nobody wants take room until they have ended", async () => {
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

test("a run of a job that no record tells of takes all of its host until it has ended", async () => {
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

test("checkpoints of running tasks are kept before any task of the job ends", async () => {
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

test("checkpoints are kept with ends only when their interval is switched off", async () => {
  const harness = new EngineHarness({ policy: { checkpointEveryMs: 0 } });
  const host = await harness.addHost("h1");
  harness.submit("j", [{ checkpointing: true }]);
  await harness.run(100);
  host.saveCheckpoint(taskId("j.0.0.0"), "half");
  await harness.run(3_000);
  expect(lastProgress(harness, "j")).toEqual(undefined);
});

test("failures that are heard of while another run is under way count as attempts", async () => {
  const before = new EngineHarness();
  const first = await before.addHost("h1");
  before.submit("j", [{}]);
  await before.run(100);
  const { starts } = first;
  // The end is listed, but the leader that acts on it cannot keep it any more.
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

test("a new leader goes on with what the last one learnt of images", async () => {
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

test("nothing is kept of what is learnt where that is switched off", async () => {
  const harness = new EngineHarness({ policy: { learntEveryMs: 0 } });
  const host = await harness.addHost("h1");
  harness.submit("j", [{ estimateMs: 100 }]);
  await harness.run(200);
  host.end(taskId("j.0.0.0"), "done");
  await harness.run(5_000);
  expect(harness.learned).toEqual([]);
});
