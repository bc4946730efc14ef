/** A task that crashes its workers fails permanently, also across leaders, and no other task does. */

import { test } from "node:test";
import { expect } from "earl";
import { silentLogger, type JobTaskId, type Logger } from "@rackspan/common";
import { TOPICS, type AcceptedJob } from "@rackspan/state";
import { JOB, progressOf, createSite, stateOf, TASK } from "./singleJobSite.js";
import { EngineHarness, type FakeHost } from "./engineHarness.js";

const OTHER = "77aa7a21d94b36f8";
/** Time until a crashed worker is back, milliseconds. */
const DOWN_MS = 600;
/** Limit of worker crashes by a task of which no isolated run was observed. */
const MOST_CRASHES = 5;
/** Only one task of this demand fits on a host of the harness. */
const WHOLE_HOST = { milliCores: 30_000, memoryMiB: 100, accelerators: 0 };

/** Replaces the leader immediately; the next one reads the store, and all hosts attach to it. */
const changeLeader = (
  previous: EngineHarness,
  jobs: readonly AcceptedJob[],
): EngineHarness => {
  previous.engine.stop();
  previous.isLeader = false;
  const { clock, hosts, store } = previous;
  const roster = hosts.map(({ host }) => host);
  const epoch = previous.epoch + 1;
  const next = new EngineHarness({ clock, roster, store, epoch });
  next.hosts.push(...hosts);
  for (const job of jobs) {
    const { id } = job.spec;
    next.engine.addJob(job, progressOf(previous, id));
  }
  for (const host of hosts) next.engine.attach(host.host, host);
  return next;
};

interface CrashPlan {
  /** Whether the task crashes the worker that runs it. */
  readonly crashes: (task: JobTaskId) => boolean;
  /** How long such a task works before the crash, milliseconds. */
  readonly afterMs?: number;
  /** Called after each crash, before it is reported; may return the next leader. */
  readonly onCrash?: (site: EngineHarness) => EngineHarness;
}

/** Advances the clock; a worker that runs such a task crashes and comes back later. */
const runWithCrashes = async (
  first: EngineHarness,
  { crashes, afterMs = 0, onCrash = (same) => same }: CrashPlan,
  ms: number,
): Promise<EngineHarness> => {
  let site = first;
  const { clock } = site;
  const end = clock.monotonic() + ms;
  const downUntil = new Map<FakeHost, number>();
  const seenSince = new Map<string, number>();
  while (clock.monotonic() < end) {
    const now = clock.monotonic();
    for (const host of site.hosts) {
      const isDue = host.runs.some(({ task, run }) => {
        if (!crashes(task)) return false;
        const key = `${host.host}#${task}#${run}`;
        if (!seenSince.has(key)) seenSince.set(key, now);
        return now - (seenSince.get(key) ?? now) >= afterMs;
      });
      if (!isDue) continue;
      host.replaceWorker();
      downUntil.set(host, now + DOWN_MS);
      site = onCrash(site);
    }
    const up = site.hosts.filter((host) => (downUntil.get(host) ?? 0) <= now);
    await site.run(100, up);
  }
  return site;
};

const isCrasher = (task: JobTaskId): boolean => task === TASK;

const crashCountOf = ({ hosts }: EngineHarness): number =>
  hosts.reduce((sum, host) => sum + host.crashCount, 0);

test("a task that crashes each worker that starts it fails permanently, and its job is shown as failed", async () => {
  const lines: string[] = [];
  const record = (event: string, fields?: object): void =>
    void lines.push(`${event} ${JSON.stringify(fields)}`);
  const logger = { ...silentLogger, info: record, warn: record } as Logger;
  const site = await createSite(3, logger);
  site.submit(JOB, [{}]);
  await runWithCrashes(site, { crashes: isCrasher }, 20_000);
  expect(crashCountOf(site)).toEqual(2);
  expect(stateOf(site, JOB)).toEqual("failed");
  const ended = lines.find((line) => line.startsWith("job.ended"));
  expect(ended?.includes(`crashed-its-workers:${TASK}`)).toEqual(true);
});

test("a lasting task that crashes its workers fails permanently as well", async () => {
  const site = await createSite(3);
  site.submit(JOB, [{ lasting: true }]);
  await runWithCrashes(site, { crashes: isCrasher }, 20_000);
  expect(crashCountOf(site)).toEqual(2);
  expect(stateOf(site, JOB)).toEqual("failed");
});

test("tasks that only shared workers with a crashing task do not fail", async () => {
  const site = await createSite(3);
  site.submit(JOB, [{}]);
  for (const id of [OTHER, `${OTHER}0`, `${OTHER}1`]) {
    site.submit(id, [{ taskCount: 8 }]);
  }
  await runWithCrashes(site, { crashes: isCrasher }, 20_000);
  expect(crashCountOf(site)).toEqual(2);
  for (const id of [OTHER, `${OTHER}0`, `${OTHER}1`]) {
    expect(stateOf(site, id)).not.toEqual("failed");
    const tasks = site.hosts.flatMap(({ runningTasks }) => runningTasks);
    const running = tasks.filter((task) => task.startsWith(`${id}.`));
    expect(running.length).toEqual(8);
  }
});

test("many tasks that crash their workers fail permanently one by one, and no others do", async () => {
  const site = await createSite(6);
  const crashers = Array.from({ length: 6 }, (_, n) => `c${n}`);
  for (const id of crashers) site.submit(id, [{}]);
  const others = Array.from({ length: 12 }, (_, n) => `o${n}`);
  for (const id of others) site.submit(id, [{ taskCount: 4 }]);
  const crashes = (task: JobTaskId): boolean => task.startsWith("c");
  await runWithCrashes(site, { crashes }, 60_000);
  expect(crashers.map((id) => stateOf(site, id))).toEqual(
    crashers.map(() => "failed"),
  );
  expect(others.filter((id) => stateOf(site, id) === "failed")).toEqual([]);
  expect(crashCountOf(site)).toBeLessThanOrEqual(3 * crashers.length);
});

test("crash evidence outlives the leader that recorded it", async () => {
  const site = await createSite(3);
  const job = site.submit(JOB, [{}]);
  await runWithCrashes(site, { crashes: isCrasher }, 1_500);
  expect(crashCountOf(site)).toEqual(2);
  const next = new EngineHarness({ epoch: 2 });
  const progress = progressOf(site, JOB);
  next.engine.addJob(job, progress && { ...progress, state: "running" });
  await next.addHost("h9");
  await runWithCrashes(next, { crashes: isCrasher }, 5_000);
  expect(crashCountOf(next)).toBeLessThanOrEqual(1);
});

test("a task does not restart forever if the leader changes at each crash", async () => {
  const first = await createSite(3);
  const job = first.submit(JOB, [{}]);
  let changes = 0;
  const onCrash = (site: EngineHarness): EngineHarness => {
    changes += 1;
    // The first crash has not been reported to the first leader.
    return changeLeader(site, [job]);
  };
  const plan = { crashes: isCrasher, onCrash };
  const last = await runWithCrashes(first, plan, 60_000);
  expect(changes).toBeGreaterThan(0);
  expect(crashCountOf(last)).toBeLessThanOrEqual(MOST_CRASHES);
  expect(stateOf(last, JOB)).toEqual("failed");
});

test("a run with a write-ahead record that is at work under the next leader is not counted", async () => {
  const site = await createSite(3);
  const job = site.submit(JOB, [{}]);
  let crashed = 0;
  const crashes = (task: JobTaskId): boolean =>
    isCrasher(task) && crashed++ === 0;
  await runWithCrashes(site, { crashes }, 2_000);
  expect(progressOf(site, JOB)?.announced.length).toEqual(1);
  const next = changeLeader(site, [job]);
  await next.run(2_000);
  const [host] = next.hosts.filter((one) => one.isRunning(TASK));
  host?.end(TASK, "done");
  await next.run(500);
  expect(stateOf(next, JOB)).toEqual("completed");
  expect(crashCountOf(next)).toEqual(1);
});

test("a task that works for a while before it crashes its worker fails permanently too", async () => {
  const site = await createSite(3);
  site.submit(JOB, [{}]);
  site.submit(OTHER, [{ taskCount: 6 }]);
  const plan = { crashes: isCrasher, afterMs: 2_000 };
  await runWithCrashes(site, plan, 40_000);
  expect(crashCountOf(site)).toEqual(3);
  expect(stateOf(site, JOB)).toEqual("failed");
  expect(stateOf(site, OTHER)).not.toEqual("failed");
});

test("a gang with a member that crashes its workers fails permanently", async () => {
  const site = await createSite(4);
  site.submit(JOB, [{ taskCount: 2, gang: true, demand: WHOLE_HOST }]);
  const endGang = (from: EngineHarness): EngineHarness => {
    for (const host of from.hosts) {
      for (const task of host.runningTasks) host.end(task, "broken");
    }
    return from;
  };
  const plan = { crashes: isCrasher, onCrash: endGang };
  await runWithCrashes(site, plan, 40_000);
  expect(crashCountOf(site)).toBeLessThanOrEqual(MOST_CRASHES);
  expect(stateOf(site, JOB)).toEqual("failed");
});

// A silent host may only be partitioned, and its task may still be at work.
test("a task whose hosts become silent does not fail until workers are known to have crashed", async () => {
  const site = await createSite(12);
  site.submit(JOB, [{}]);
  const silent = new Set<FakeHost>();
  for (let round = 0; round < 10; round += 1) {
    for (const host of site.hosts) if (host.isRunning(TASK)) silent.add(host);
    await site.run(
      8_000,
      site.hosts.filter((host) => !silent.has(host)),
    );
  }
  expect(silent.size).toBeGreaterThan(6);
  expect(stateOf(site, JOB)).not.toEqual("failed");
  // Two of them come back with new incarnations of their workers.
  const [first, second] = silent;
  first?.replaceWorker();
  await site.run(2_000, first ? [first] : []);
  expect(stateOf(site, JOB)).not.toEqual("failed");
  second?.replaceWorker();
  await site.run(2_000, second ? [second] : []);
  expect(stateOf(site, JOB)).toEqual("failed");
});

test("a worker that leaves as planned is no crash evidence against its tasks", async () => {
  const site = await createSite(2);
  site.submit(JOB, [{ taskCount: 2 }]);
  await site.run(300);
  for (const host of site.hosts) {
    host.draining = true;
    site.reportOf(host);
    site.engine.handleWorkerGone(host.host, host.instance);
  }
  await site.run(200, []);
  expect(progressOf(site, JOB)?.crashes ?? []).toEqual([]);
});

test("while the store is unavailable no suspect task is started, and the others are", async () => {
  const site = await createSite(3);
  site.submit(JOB, [{}]);
  await runWithCrashes(site, { crashes: isCrasher }, 300);
  expect(crashCountOf(site)).toEqual(1);
  site.store.fault = "refuses";
  site.submit(OTHER, [{ taskCount: 4 }]);
  await runWithCrashes(site, { crashes: isCrasher }, 1_000);
  const starts = site.hosts.flatMap((host) => host.starts);
  expect(starts.filter(({ task }) => isCrasher(task)).length).toEqual(1);
  expect(starts.filter(({ task }) => !isCrasher(task)).length).toEqual(4);
  site.store.fault = "none";
  await runWithCrashes(site, { crashes: isCrasher }, 5_000);
  expect(stateOf(site, JOB)).toEqual("failed");
});

// It used to wait until the next change of leader, and its caller with it.
test("a suspect task is started once its write-ahead record is written after a failure", async () => {
  const site = await createSite(3);
  site.submit(JOB, [{}]);
  const crashedOnce = (): boolean => crashCountOf(site) >= 1;
  await runWithCrashes(
    site,
    { crashes: (task) => isCrasher(task) && !crashedOnce() },
    300,
  );
  expect(crashCountOf(site)).toEqual(1);
  const { store } = site;
  const append = store.append.bind(store);
  store.append = async (req) => {
    if (req.topic === TOPICS.progress) throw new Error("answer 413");
    return append(req);
  };
  await site.run(1_000);
  store.append = append;
  await site.run(2_000);
  const starts = site.hosts.flatMap((host) => host.starts);
  expect(starts.filter(({ task }) => isCrasher(task)).length).toEqual(2);
});

test("a suspect lasting task gets a host although the hosts are full of plain tasks", async () => {
  const site = await createSite(2);
  site.submit(JOB, [{ lasting: true, demand: WHOLE_HOST }]);
  let crashed = 0;
  const crashes = (task: JobTaskId): boolean =>
    isCrasher(task) && crashed++ === 0;
  await runWithCrashes(site, { crashes }, 300);
  site.submit(OTHER, [{ taskCount: 300 }]);
  for (let round = 0; round < 60 && !isRunning(site, TASK); round += 1) {
    for (const host of site.hosts) {
      const [oldest] = host.runningTasks;
      if (oldest && oldest !== TASK) host.end(oldest, "done");
      const [next] = host.runningTasks;
      if (next && next !== TASK) host.end(next, "done");
    }
    await site.run(200);
  }
  expect(isRunning(site, TASK)).toEqual(true);
});

const isRunning = ({ hosts }: EngineHarness, task: JobTaskId): boolean =>
  hosts.some((host) => host.isRunning(task));

// The leader still counts such runs as active; their side does not report them as lost.
test("runs that had ended before their workers crashed are no evidence against their task", async () => {
  const site = await createSite(3);
  site.submit(JOB, [{}]);
  for (let crash = 0; crash < 2; crash += 1) {
    while (!isRunning(site, TASK)) await site.run(50);
    const host = site.hosts.find((one) => one.isRunning(TASK));
    host?.end(TASK, "done");
    host?.replaceWorker();
  }
  await site.run(2_500);
  expect(stateOf(site, JOB)).not.toEqual("failed");
});
