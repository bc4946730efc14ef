/** Tasks of a silent host do not count as stalled. */

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
  /** Advances the clock while the progress of all tasks increases. */
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

test("tasks of a host that does not report for a while do not count as stalled", async () => {
  const { host, work } = await createSite();
  await work(SILENCE_MS, []);
  await work(1_000, [host]);
  expect(host.stops.length).toEqual(0);
  expect(host.starts.length).toEqual(6);
});

test("tasks that stalled while their host did not report are stopped once it reports", async () => {
  const { harness, host } = await createSite();
  await harness.run(SILENCE_MS, []);
  expect(host.stops.length).toEqual(0);
  await harness.run(500, [host]);
  expect(host.stops.length).toEqual(6);
});

test("a filling task does not count as crawling while its host does not report", async () => {
  const harness = new EngineHarness();
  const host = await harness.addHost("h1");
  harness.submit(JOB, [{ filling: true, checkpointing: true }]);
  await harness.run(500);
  const [task] = host.runningTasks;
  if (!task) throw new Error("no task runs");
  // One reading far below the requested cores.
  host.setReading(task, 1);
  await harness.run(200);
  await harness.run(SHORT_SILENCE_MS, []);
  expect(host.stops.length).toEqual(0);
  // The task still crawls, so the time of the silence counts as well.
  await harness.run(500);
  expect(host.stops.length).toEqual(1);
});

// If the suspension of the leader's machine counted as silence, leases would expire too early.
test("a leader whose machine was suspended does not treat leases as expired", async () => {
  const { harness, host, work } = await createSite();
  harness.clock.suspend(20_000);
  await work(400, []);
  await work(1_000, [host]);
  expect(host.starts.length).toEqual(6);
  expect(host.runningTasks.length).toEqual(6);
});
