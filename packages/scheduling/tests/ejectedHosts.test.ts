/** Hosts that recently failed tasks get none for a while, unless no other host is left. */

import { test } from "node:test";
import { expect } from "earl";
import { brand, type ServiceName } from "@rackspan/common";
import { ejectHost } from "./ejectHost.js";
import { EngineHarness, taskId } from "./engineHarness.js";

/** Longer than a lasting task waits for a host in service, shorter than an ejection. */
const GRACE_MS = 2_500;

const cores = (milliCores: number) => ({
  demand: { milliCores, memoryMiB: 10, accelerators: 0 },
});

test("a lasting task does not wait if only an ejected host has capacity for it", async () => {
  const harness = new EngineHarness();
  const ejected = await harness.addHost("h1");
  await ejectHost(harness, ejected);
  const full = await harness.addHost("h2");
  full.milliCores = 1_000;
  await harness.run(100);
  harness.submit("l", [{ lasting: true, ...cores(10_000) }]);
  await harness.run(GRACE_MS);
  expect(ejected.isRunning(taskId("l.0.0.0"))).toEqual(true);
});

test("a suspect lasting task does not wait if only an ejected host has capacity for it", async () => {
  const harness = new EngineHarness();
  const ejected = await harness.addHost("h1");
  await ejectHost(harness, ejected);
  const full = await harness.addHost("h2");
  harness.submit("l", [{ lasting: true, ...cores(10_000) }]);
  await harness.run(100);
  expect(full.isRunning(taskId("l.0.0.0"))).toEqual(true);
  full.replaceWorker();
  full.milliCores = 1_000;
  await harness.run(GRACE_MS - 200);
  expect(ejected.isRunning(taskId("l.0.0.0"))).toEqual(true);
});

test("a service whose hosts are all ejected is served although another service has hosts left", async () => {
  const harness = new EngineHarness();
  const ejected = await harness.addHost("h1");
  await ejectHost(harness, ejected);
  const other = await harness.addHost("h2");
  other.service = brand<ServiceName>("other");
  await harness.run(100);
  harness.submit("j", [{}]);
  await harness.run(300);
  expect(ejected.isRunning(taskId("j.0.0.0"))).toEqual(true);
});
