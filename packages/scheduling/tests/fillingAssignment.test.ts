import { test } from "node:test";
import { expect } from "earl";
import { brand } from "@rackspan/common";
import { JobRun, type StepRun } from "@rackspan/jobs";
import { FillingBatches, type Candidate } from "@rackspan/scheduling";
import { plainJob } from "@rackspan/standins";
import type { ImageName } from "@rackspan/state";
import { EngineHarness, taskId, type FakeHost } from "./engineHarness.js";

const JOINTLY = { assignsFillingJointly: true, overfillsFreeHosts: false };

const filler = (image: string, milliCores: number, memoryMiB = 10) => ({
  filling: true,
  image: brand<ImageName>(image),
  estimateMs: 2_000,
  demand: { milliCores, memoryMiB, accelerators: 0 },
});

const startedOn = (host: FakeHost, job: string): number =>
  host.runningTasks.filter((task) => task.startsWith(`${job}.`)).length;

test("a task that fits everywhere leaves the only host that another one fits on", async () => {
  for (const [policy, expected] of [
    [JOINTLY, true],
    [{ ...JOINTLY, assignsFillingJointly: false }, false],
  ] as const) {
    const harness = new EngineHarness({ policy });
    const large = await harness.addHost("h1");
    const small = await harness.addHost("h2");
    small.milliCores = 16_000;
    harness.reportOf(small);
    // The small job precedes the large one in the order of work.
    harness.submit("a", [filler("light", 10_000)]);
    harness.submit("b", [filler("large", 32_000)]);
    await harness.run(300);
    expect(large.isRunning(taskId("b.0.0.0"))).toEqual(expected);
    expect(small.isRunning(taskId("a.0.0.0"))).toEqual(expected);
  }
});

test("a joint assignment keeps to memory and to the limit of tasks per host", async () => {
  const harness = new EngineHarness({ policy: JOINTLY });
  const hosts = [await harness.addHost("h1"), await harness.addHost("h2")];
  harness.submit("a", [
    { taskCount: 8, maxPerHost: 1, ...filler("x", 1_000, 30_000) },
  ]);
  harness.submit("b", [{ taskCount: 8, ...filler("y", 1_000, 40_000) }]);
  await harness.run(300);
  for (const host of hosts) {
    expect(startedOn(host, "a") <= 1).toEqual(true);
    // 128,000 MiB hold three tasks of one kind, or one and two.
    expect(host.runningTasks.length).toEqual(3);
  }
  const metrics = await harness.metrics.render();
  expect(metrics).toMatchRegex(/filling_assigned_total\{beside="none"\} 6/);
});

test("a task that failed on its only host is not starved by jobs that come after it", async () => {
  const harness = new EngineHarness({ policy: JOINTLY });
  const host = await harness.addHost("h1");
  harness.submit("a", [filler("x", 1_000, 128_000)]);
  await harness.run(100);
  harness.submit("b", [{ taskCount: 200, ...filler("y", 1_000, 128_000) }]);
  host.end(taskId("a.0.0.0"), "failed");
  await harness.run(200);
  expect(host.isRunning(taskId("a.0.0.0"))).toEqual(true);
});

test("a step with a lower priority takes no host from one with a higher priority", () => {
  const candidate = (job: string, priority: number, step = {}): Candidate => {
    const run = new JobRun(
      plainJob({ id: job, steps: [step], acceptedAt: 0, terms: { priority } }),
    );
    return { job: run, step: run.steps[0] as StepRun, isStarved: false };
  };
  const fill = filler("x", 1_000);
  const [first, second, plain, third, low] = [
    candidate("a", 1, fill),
    candidate("b", 1, fill),
    candidate("c", 1),
    candidate("d", 1, fill),
    candidate("e", 2, fill),
  ] as const;
  const batches = new FillingBatches([first, second, plain, third, low]);
  expect(batches.startingWith(first)).toEqual([first, second]);
  expect(batches.startingWith(second)).toEqual([]);
  expect(batches.startingWith(plain)).toEqual([]);
  expect(batches.startingWith(third)).toEqual([third]);
  expect(batches.startingWith(low)).toEqual([low]);
});

test("hosts without serving tasks are filled as far as by single placement", async () => {
  const counts: number[] = [];
  for (const assignsFillingJointly of [true, false]) {
    const harness = new EngineHarness({ policy: { assignsFillingJointly } });
    const host = await harness.addHost("h1");
    harness.submit("a", [{ taskCount: 20, ...filler("x", 4_000) }]);
    await harness.run(300);
    counts.push(host.runningTasks.length);
  }
  expect(counts).toEqual([13, 13]);
});

test("a task avoids the host on which it crawled, the others of its step do not", async () => {
  const harness = new EngineHarness({ policy: JOINTLY });
  const first = await harness.addHost("h1");
  harness.submit("a", [
    { taskCount: 2, checkpointing: true, ...filler("x", 2_000) },
  ]);
  await harness.run(200);
  const crawling = taskId("a.0.0.0");
  first.setReading(taskId("a.0.0.1"), 2_000);
  first.setReading(crawling, 100);
  const second = await harness.addHost("h2");
  await harness.run(2_500);
  expect(second.isRunning(crawling)).toEqual(true);
  expect(first.isRunning(taskId("a.0.0.1"))).toEqual(true);
});

test("a starved job gets one task started where the joint assignment finds no host", async () => {
  const harness = new EngineHarness({ policy: JOINTLY });
  const host = await harness.addHost("h1");
  harness.submit("s", [
    { lasting: true, image: brand<ImageName>("web"), tailTargetMs: 100 },
  ]);
  await harness.run(200);
  host.setProgress(taskId("s.0.0.0"), 100);
  host.setReading(taskId("s.0.0.0"), 95);
  await harness.run(600);
  harness.submit("a", [{ taskCount: 5, ...filler("x", 2_000) }]);
  await harness.run(1_000);
  expect(startedOn(host, "a")).toEqual(0);
  await harness.run(1_500);
  expect(startedOn(host, "a")).toEqual(1);
});
