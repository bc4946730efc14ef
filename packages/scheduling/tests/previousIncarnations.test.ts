/** Late messages about a worker's previous incarnation do not affect the current one. */

import { test } from "node:test";
import { expect } from "earl";
import { EngineHarness, taskId, type FakeHost } from "./engineHarness.js";

const JOB = "5c0e7a21d94b36f8";
const TASK = taskId(`${JOB}.0.0.0`);

interface Site {
  readonly harness: EngineHarness;
  readonly host: FakeHost;
}

/** A host whose worker runs a task. */
const createSite = async (): Promise<Site> => {
  const harness = new EngineHarness();
  const host = await harness.addHost("h1");
  harness.submit(JOB, [{}]);
  await harness.run(100);
  expect(host.isRunning(TASK)).toEqual(true);
  return { harness, host };
};

test("the end of a previous incarnation is ignored once the next one works", async () => {
  const { harness, host } = await createSite();
  const previous = host.instance;
  host.replaceWorker();
  await harness.run(500);
  expect(host.isRunning(TASK)).toEqual(true);
  const startCount = host.starts.length;
  const other = await harness.addHost("h2");
  harness.engine.handleWorkerGone(host.host, previous);
  await harness.run(500);
  expect(host.starts.length + other.starts.length).toEqual(startCount);
});

test("the close of a previous connection does not detach the current one", async () => {
  const { harness, host } = await createSite();
  const previous: FakeHost = Object.create(host) as FakeHost;
  harness.engine.attach(host.host, previous);
  harness.engine.attach(host.host, host);
  harness.engine.detach(host.host, previous);
  harness.submit("0f3b5d7a9c1e2468", [{}]);
  await harness.run(200);
  expect(host.runningTasks.length).toEqual(2);
});

test("ends of a previous incarnation that are persisted late acknowledge none of the next one's", async () => {
  const { harness, host } = await createSite();
  harness.store.fault = "refuses";
  host.end(TASK, "done");
  harness.reportOf(host);
  await harness.clock.advance(100);
  host.replaceWorker();
  harness.reportOf(host);
  harness.store.fault = "none";
  await harness.clock.advance(1_000);
  expect(harness.reportOf(host).acknowledged).toEqual(0);
  expect(host.acknowledged).toEqual(0);
});
