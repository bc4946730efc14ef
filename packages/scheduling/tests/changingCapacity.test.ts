/** A worker whose capacity changes at run time is never filled beyond its capacity. */

import { test } from "node:test";
import { expect } from "earl";
import { EngineHarness, taskId, type FakeHost } from "./engineHarness.js";

const JOB = "5c0e7a21d94b36f8";
const NEXT = "77aa7a21d94b36f8";
const CORE = 1_000;
const FULL = 32;

const usedMilliCores = (host: FakeHost): number =>
  host.runningTasks.length * CORE;

/** A host that is full when its capacity drops to half. */
const createShrunkHost = async () => {
  const site = new EngineHarness();
  const host = await site.addHost("h1");
  const job = site.submit(JOB, [{ taskCount: FULL }]);
  await site.run(300);
  expect(host.runningTasks.length).toEqual(FULL);
  host.milliCores = (FULL / 2) * CORE;
  await site.run(200);
  const next = site.submit(NEXT, [{ taskCount: 4 }]);
  return { site, host, jobs: [job, next] };
};

const endTasks = (host: FakeHost, count: number): void => {
  for (const task of host.runningTasks.slice(0, count)) host.end(task, "done");
};

test("a worker whose capacity drops below its usage gets no tasks until enough have ended", async () => {
  const { site, host } = await createShrunkHost();
  const starts = host.starts.length;
  endTasks(host, FULL / 2);
  await site.run(500);
  expect(host.starts.length).toEqual(starts);
  endTasks(host, 2);
  await site.run(500);
  expect(host.starts.length).toEqual(starts + 2);
  expect(usedMilliCores(host)).toBeLessThanOrEqual(host.milliCores);
});

test("capacity that grows again is used", async () => {
  const { site, host } = await createShrunkHost();
  host.milliCores = (FULL + 4) * CORE;
  await site.run(500);
  expect(host.isRunning(taskId(`${NEXT}.0.0.0`))).toEqual(true);
  expect(usedMilliCores(host)).toEqual(host.milliCores);
});

test("runs that are stopping still count on a worker whose capacity dropped", async () => {
  const { site, host, jobs } = await createShrunkHost();
  host.stopsAtOnce = false;
  const [first] = jobs;
  if (first) site.engine.cancelJob(first.spec.id);
  const starts = host.starts.length;
  await site.run(500);
  expect(host.starts.length).toEqual(starts);
});

test("the next leader counts the runs on a worker whose capacity dropped", async () => {
  const { site: previous, host, jobs } = await createShrunkHost();
  const starts = host.starts.length;
  previous.engine.stop();
  previous.isLeader = false;
  const { clock, store } = previous;
  const roster = [host.host];
  const next = new EngineHarness({ epoch: 2, clock, store, roster });
  next.hosts.push(host);
  for (const job of jobs) next.engine.addJob(job, undefined);
  next.engine.attach(host.host, host);
  await next.run(1_000);
  expect(host.starts.length).toEqual(starts);
  endTasks(host, FULL / 2 + 1);
  await next.run(500);
  expect(host.starts.length).toEqual(starts + 1);
});

test("the next incarnation of a worker is filled up to its own capacity", async () => {
  const { site, host } = await createShrunkHost();
  host.replaceWorker();
  await site.run(12_000);
  expect(usedMilliCores(host)).toEqual(host.milliCores);
});

test("a side that attaches again reports the current capacity", async () => {
  const { site, host } = await createShrunkHost();
  site.engine.detach(host.host, host);
  host.milliCores = (FULL / 4) * CORE;
  endTasks(host, FULL / 2 + 2);
  const starts = host.starts.length;
  site.engine.attach(host.host, host);
  await site.run(500);
  expect(host.starts.length).toEqual(starts);
});
