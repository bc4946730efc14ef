/** A run whose end does not fit into its worker's truncated list of ends does not count as vanished. */

import { test } from "node:test";
import { expect } from "earl";
import { EngineHarness, taskId, type FakeHost } from "./engineHarness.js";

const JOB = "5c0e7a21d94b36f8";
/** More ends than a worker lists in one report. */
const TASK_COUNT = 510;
const SMALL = { milliCores: 10, memoryMiB: 1, accelerators: 0 };

/** A host that runs all tasks of the job. */
const startAll = async () => {
  const site = new EngineHarness();
  const host = await site.addHost("h1");
  const job = site.submit(JOB, [{ taskCount: TASK_COUNT, demand: SMALL }]);
  await site.run(200);
  return { site, host, job };
};

const endAll = (host: FakeHost): void => {
  for (const task of host.runningTasks) host.end(task, "done");
};

test("tasks whose ends did not fit into the worker's list are not started again", async () => {
  const { site, host } = await startAll();
  expect(host.starts.length).toEqual(TASK_COUNT);
  site.store.fault = "refuses";
  endAll(host);
  await site.run(500);
  expect(host.starts.length).toEqual(TASK_COUNT);
  site.store.fault = "none";
  await site.run(1_000);
  expect(host.starts.length).toEqual(TASK_COUNT);
  expect(host.acknowledged).toEqual(TASK_COUNT);
});

test("a new leader starts nothing while a host has more ends to list", async () => {
  const { site: previous, host, job } = await startAll();
  const { clock } = previous;
  previous.store.fault = "refuses";
  endAll(host);
  previous.engine.stop();
  const next = new EngineHarness({ epoch: 2, roster: [host.host], clock });
  next.hosts.push(host);
  next.engine.addJob(job, undefined);
  next.engine.attach(host.host, host);
  next.store.fault = "refuses";
  await next.run(500);
  expect(host.starts.length).toEqual(TASK_COUNT);
  next.store.fault = "none";
  await next.run(1_000);
  expect(host.starts.length).toEqual(TASK_COUNT);
  expect(host.acknowledged).toEqual(TASK_COUNT);
});

test("a run that is in neither list is detected once all ends were listed", async () => {
  const { site, host } = await startAll();
  const lost = taskId(`${JOB}.0.0.7`);
  host.vanish(lost);
  endAll(host);
  await site.run(1_000);
  expect(host.starts.length).toEqual(TASK_COUNT + 1);
  expect(host.starts.at(-1)?.task).toEqual(lost);
});

test("a failure that did not fit into the worker's list counts before the next start", async () => {
  const { site, host } = await startAll();
  site.store.fault = "refuses";
  const last = taskId(`${JOB}.0.0.${TASK_COUNT - 1}`);
  for (const task of host.runningTasks) {
    if (task !== last) host.end(task, "done");
  }
  host.end(last, "failed");
  await site.run(500);
  expect(host.isRunning(last)).toEqual(false);
  site.store.fault = "none";
  await site.run(500);
  expect(host.isRunning(last)).toEqual(true);
  host.end(last, "failed");
  await site.run(500);
  const starts = host.starts.filter(({ task }) => task === last);
  expect(starts.length).toEqual(2);
});
