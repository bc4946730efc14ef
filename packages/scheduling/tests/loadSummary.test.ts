/** The load summary that the leader publishes. */

import { test } from "node:test";
import { expect } from "earl";
import {
  decodeLoadSummary,
  PROGRESS_KEYS,
  TOPICS,
  type LoadSummary,
  type StepSpec,
} from "@rackspan/state";
import { plainJob } from "@rackspan/standins";
import { EngineHarness, taskId } from "./engineHarness.js";

const INTERVAL_MS = 500;
const JOB = "00000000000000aa";
const demandOf = (milliCores: number) => ({
  demand: { milliCores, memoryMiB: 10, accelerators: 0 },
});

const summariesIn = (site: EngineHarness): LoadSummary[] =>
  site.store
    .recordsOf(TOPICS.progress)
    .flatMap(({ key, value }) =>
      key === PROGRESS_KEYS.load && value
        ? [decodeLoadSummary(key, value)]
        : [],
    );

const priorityIn = (summary: LoadSummary | undefined, priority: number) =>
  summary?.services[0]?.priorities.find((each) => each.priority === priority);

const setUp = async (loadSummaryIntervalMs?: number) => {
  const site = new EngineHarness({ loadSummaryIntervalMs });
  const host = await site.addHost("h1");
  const addJob = (
    id: string,
    priority: number,
    step: Partial<StepSpec>,
  ): void => {
    const acceptedAt = site.clock.now();
    const terms = { priority };
    const job = plainJob({ id, acceptedAt, steps: [step], terms });
    site.engine.addJob(job, undefined);
  };
  return { site, host, addJob };
};

test("a summary is published at each interval while work is pending, and once when it no longer is", async () => {
  const { site, host, addJob } = await setUp(INTERVAL_MS);
  await site.run(2_000);
  expect(summariesIn(site).length).toEqual(0);
  addJob(JOB, 0, {});
  await site.run(2_000);
  const during = summariesIn(site).length;
  expect(during >= 3 && during <= 5).toEqual(true);
  expect(priorityIn(summariesIn(site).at(-1), 0)?.pending.length).toEqual(1);
  host.end(taskId(`${JOB}.0.0.0`), "done");
  await site.run(3_000);
  const after = summariesIn(site);
  expect(after.at(-1)?.services).toEqual([]);
  expect(after.filter(({ services }) => services.length === 0).length).toEqual(
    1,
  );
});

test("nothing is published while the setting is off, and nothing by a process that may not decide", async () => {
  for (const interval of [undefined, 0]) {
    const { site, addJob } = await setUp(interval);
    addJob(JOB, 0, {});
    await site.run(2_000);
    expect(summariesIn(site).length).toEqual(0);
  }
  const { site, addJob } = await setUp(INTERVAL_MS);
  site.isLeader = false;
  addJob(JOB, 0, {});
  await site.run(2_000);
  expect(summariesIn(site).length).toEqual(0);
});

test("a rate counts as capacity only after tasks have found no host for the whole time of its measurement", async () => {
  const { site, host, addJob } = await setUp(INTERVAL_MS);
  // 32 cores; 4 tasks of 8 cores run, 36 wait.
  addJob(JOB, 0, { taskCount: 40, ...demandOf(8_000) });
  await site.run(1_000);
  const endAll = (): void => {
    for (const { task, run } of host.runs) host.end(task, "done", run);
  };
  const seen: (boolean | undefined)[] = [];
  for (let second = 0; second < 8; second += 1) {
    endAll();
    await site.run(1_000);
    seen.push(priorityIn(summariesIn(site).at(-1), 0)?.isSaturated);
  }
  expect(seen[0]).toEqual(false);
  expect(seen.includes(true)).toEqual(true);
  const load = priorityIn(summariesIn(site).at(-1), 0);
  expect(load?.plain.largestMilliCores).toEqual(0);
  // 32 cores are at work all the time.
  const rate = load?.ratePerMs ?? 0;
  expect(rate > 20 && rate < 45).toEqual(true);
});

// Guards against rates of 0 with peaks between them, when work counts only at its end.
test("tasks that run longer than the window give a steady rate", async () => {
  const { site, host, addJob } = await setUp(INTERVAL_MS);
  // 32 cores; tasks of 8 cores and 10 s, more than fit.
  addJob(JOB, 0, { taskCount: 40, estimateMs: 10_000, ...demandOf(8_000) });
  await site.run(200);
  const doneMs = new Map<string, number>();
  let last = site.clock.monotonic();
  const rates: number[] = [];
  for (let at = 0; at < 35_000; at += 100) {
    const passed = site.clock.monotonic() - last;
    last += passed;
    for (const { task, run } of host.runs) {
      const done = (doneMs.get(task) ?? 0) + passed;
      doneMs.set(task, done);
      if (done >= 10_000) host.end(task, "done", run);
      else host.setProgress(task, done / 100);
    }
    await site.run(100);
    if (at >= 6_000)
      rates.push(priorityIn(summariesIn(site).at(-1), 0)?.ratePerMs ?? 0);
  }
  expect(Math.min(...rates) > 24).toEqual(true);
  expect(Math.max(...rates) < 40).toEqual(true);
});

// Guards against refusing an urgent job because bulk work holds the hosts.
test("capacity that less urgent work holds is free for more urgent work", async () => {
  const { site, addJob } = await setUp(INTERVAL_MS);
  addJob(JOB, 2, { taskCount: 8, ...demandOf(8_000) });
  await site.run(1_000);
  addJob("00000000000000bb", 0, { taskCount: 1, ...demandOf(8_000) });
  await site.run(1_500);
  const summary = summariesIn(site).at(-1);
  expect(priorityIn(summary, 0)?.plain.largestMilliCores).toEqual(32_000);
  expect(priorityIn(summary, 2)?.plain.largestMilliCores).toEqual(0);
});

test("steps that only special hosts may run do not count as a lack of capacity", async () => {
  const { site, addJob } = await setUp(INTERVAL_MS);
  addJob(JOB, 0, { requiredLabel: "none-has-it" });
  await site.run(1_500);
  const load = priorityIn(summariesIn(site).at(-1), 0);
  expect(load?.plain.largestMilliCores).toEqual(32_000);
  expect(load?.isSaturated).toEqual(false);
});

// Guards against a saturation that never ends: such a step waits for as long as it exists.
test("a step that no host can ever hold does not count as a lack of capacity", async () => {
  const demands = [
    { milliCores: 33_000, memoryMiB: 10, accelerators: 0 },
    { milliCores: 1_000, memoryMiB: 10, accelerators: 1 },
    { milliCores: 1_000, memoryMiB: 129_000, accelerators: 0 },
  ];
  for (const demand of demands) {
    const { site, addJob } = await setUp(INTERVAL_MS);
    addJob(JOB, 0, { demand });
    await site.run(6_000);
    const load = priorityIn(summariesIn(site).at(-1), 0);
    expect(load?.plain.largestMilliCores).toEqual(32_000);
    expect(load?.isSaturated).toEqual(false);
  }
});

// Guards against a rate that was measured while nothing was asked for.
test("a saturation ends with the work that caused it", async () => {
  const { site, host, addJob } = await setUp(INTERVAL_MS);
  const step = { taskCount: 8, ...demandOf(8_000) };
  addJob(JOB, 0, step);
  // Tasks without progress would be stopped and would avoid their host.
  for (let percent = 10; percent < 70; percent += 10) {
    for (const { task } of host.runs) host.setProgress(task, percent);
    await site.run(1_000);
  }
  expect(priorityIn(summariesIn(site).at(-1), 0)?.isSaturated).toEqual(true);
  // Nothing is pending any more: all tasks end within one interval.
  for (let round = 0; round < 2; round += 1) {
    for (const { task, run } of host.runs) host.end(task, "done", run);
    await site.run(200);
  }
  await site.run(20_000);
  expect(summariesIn(site).at(-1)?.services).toEqual([]);
  addJob("00000000000000bb", 0, step);
  await site.run(1_500);
  expect(priorityIn(summariesIn(site).at(-1), 0)?.isSaturated).toEqual(false);
});
