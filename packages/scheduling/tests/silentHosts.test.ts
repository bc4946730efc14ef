/** Silence of a host is not taken for a standstill of its tasks. */

import { test } from "node:test";
import { expect } from "earl";
import { EngineHarness, type FakeHost } from "./engineHarness.js";

const JOB = "5c0e7a21d94b36f8";
const STEP_MS = 200;
/** Longer than a task may go without progress, shorter than a lease. */
const SILENCE_MS = 3_400;
/** Longer than a filling task may crawl. */
const SHORT_SILENCE_MS = 1_500;

interface Site {
  readonly harness: EngineHarness;
  readonly host: FakeHost;
  /** Lets time pass in which all tasks gain percents. */
  readonly work: (ms: number, reporting: readonly FakeHost[]) => Promise<void>;
}

const createSite = async (): Promise<Site> => {
  const harness = new EngineHarness();
  const host = await harness.addHost("h1");
  harness.submit(JOB, [{ taskCount: 6 }]);
  let percent = 1;
  const work: Site["work"] = async (ms, reporting) => {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      percent += 1;
      for (const task of host.runningTasks) host.setProgress(task, percent);
      await harness.run(STEP_MS, reporting);
    }
  };
  await work(2_000, [host]);
  expect(host.runningTasks.length).toEqual(6);
  return { harness, host, work };
};

test("tasks of a host that is not heard for a while are not taken to stand still", async () => {
  const { host, work } = await createSite();
  await work(SILENCE_MS, []);
  await work(1_000, [host]);
  expect(host.stops.length).toEqual(0);
  expect(host.starts.length).toEqual(6);
});

test("tasks that stood still while their host was not heard are stopped once it is", async () => {
  const { harness, host } = await createSite();
  await harness.run(SILENCE_MS, []);
  expect(host.stops.length).toEqual(0);
  await harness.run(500, [host]);
  expect(host.stops.length).toEqual(6);
});

test("a filling task is not taken to crawl while its host is not heard", async () => {
  const harness = new EngineHarness();
  const host = await harness.addHost("h1");
  harness.submit(JOB, [{ filling: true, checkpointing: true }]);
  await harness.run(500);
  const [task] = host.runningTasks;
  if (!task) throw new Error("no task runs");
  // One reading far below what it asks for.
  host.setReading(task, 1);
  await harness.run(200);
  await harness.run(SHORT_SILENCE_MS, []);
  expect(host.stops.length).toEqual(0);
  // It crawls still: now this is known of all the time between.
  await harness.run(500);
  expect(host.stops.length).toEqual(1);
});

// Silence that includes a suspension of the leader's machine would end leases too early.
test("a leader whose machine was suspended takes no lease for over", async () => {
  const { harness, host, work } = await createSite();
  harness.clock.suspend(20_000);
  await work(400, []);
  await work(1_000, [host]);
  expect(host.starts.length).toEqual(6);
  expect(host.runningTasks.length).toEqual(6);
});
