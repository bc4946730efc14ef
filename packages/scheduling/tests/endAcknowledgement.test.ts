/** When the ends of runs are acknowledged, so that workers may drop them. */

import { test } from "node:test";
import { expect } from "earl";
import { EngineHarness, LEASE_MS, taskId } from "./engineHarness.js";

const JOB = "5c0e7a21d94b36f8";

// After the silence the host has a new entry and lists the end again, while the first record of
// the end still waits for the store.
test("an end that is listed again is acknowledged only once its progress is persisted", async () => {
  const site = new EngineHarness();
  const host = await site.addHost("h1");
  site.submit(JOB, [{}]);
  await site.run(200);
  host.end(taskId(`${JOB}.0.0.0`), "done");
  site.store.fault = "refuses";
  await site.run(500);
  expect(host.acknowledged).toEqual(0);
  await site.run(2 * LEASE_MS, []);
  await site.run(500);
  expect(host.acknowledged).toEqual(0);
  site.store.fault = "none";
  await site.run(500);
  expect(host.acknowledged).toEqual(1);
});

// The end of one member ends the gang, so no end may be dropped before its record is persisted.
test("the end of a gang's member is not acknowledged before the record of another member's end", async () => {
  const site = new EngineHarness();
  const hosts = [await site.addHost("h1"), await site.addHost("h2")];
  const demand = { milliCores: 20_000, memoryMiB: 100, accelerators: 0 };
  site.submit(JOB, [{ taskCount: 2, gang: true, demand }]);
  await site.run(200);
  expect(hosts.map(({ runningTasks }) => runningTasks.length)).toEqual([1, 1]);
  for (const host of hosts) {
    for (const task of host.runningTasks) host.end(task, "done");
  }
  site.store.fault = "refuses";
  await site.run(500);
  expect(hosts.map(({ acknowledged }) => acknowledged)).toEqual([0, 0]);
  site.store.fault = "none";
  await site.run(500);
  expect(hosts.map(({ acknowledged }) => acknowledged)).toEqual([1, 1]);
});
