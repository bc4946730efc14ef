/**
 * What is learned, counted and reported about bulk work: run time distributions and
 * their handover, discarded work, the measured rate, and the backlog for operators.
 */

import { test } from "node:test";
import { expect } from "earl";
import { createLogger, ManualClock } from "@rackspan/common";
import { decodeLearned, encodeLearned } from "@rackspan/state";
import { CompletionRate, RuntimeDistribution } from "@rackspan/scheduling";
import { EngineHarness, taskId, type FakeHost } from "./engineHarness.js";

const ORDER = "byCompletion";
const BULK = { filling: true, estimateMs: 1_000 };

const discardedOf = async (
  harness: EngineHarness,
): Promise<Record<string, number>> => {
  const values = await harness.metrics.values("work_thrown_away_core_ms");
  return Object.fromEntries(
    values.map(({ labels, value }) => [labels["reason"] ?? "", value]),
  );
};

test("quantiles of a distribution show a tail that its mean hides", () => {
  const distribution = new RuntimeDistribution();
  for (let at = 0; at < 1_000; at += 1)
    distribution.record(at % 100 < 3 ? 7 : 1);
  expect(distribution.quantile(0.5)).toBeGreaterThan(0.9);
  expect(distribution.quantile(0.95)).toBeLessThan(1.1);
  expect(distribution.quantile(0.98)).toBeGreaterThan(6.3);
  expect(Math.abs(distribution.shareUpTo(2) - 0.97)).toBeLessThan(0.001);
  const restored = new RuntimeDistribution();
  restored.restore(distribution.toBuckets());
  expect(restored.quantile(0.98)).toEqual(distribution.quantile(0.98));
});

test("old observations fade, so that a distribution follows a change of the load", () => {
  const distribution = new RuntimeDistribution();
  for (let at = 0; at < 5_000; at += 1) distribution.record(1);
  for (let at = 0; at < 9_000; at += 1) distribution.record(3);
  expect(distribution.quantile(0.1)).toBeGreaterThan(2.7);
});

test("the rate of bulk work is unknown at first and after a pause", async () => {
  const clock = new ManualClock();
  const rate = new CompletionRate(clock);
  for (let at = 0; at < 10_000; at += 100) {
    rate.record(2, 4_000);
    if (at < 2_500) expect(rate.of(2)).toEqual(undefined);
    await clock.advance(100);
  }
  expect(Math.abs((rate.of(2) ?? 0) - 40)).toBeLessThan(1);
  expect(rate.of(0)).toEqual(undefined);
  await clock.advance(5_100);
  expect(rate.of(2)).toEqual(undefined);
});

const learnFrom = async (harness: EngineHarness): Promise<void> => {
  const host = await harness.addHost("h1");
  harness.submit("j", [{ ...BULK, taskCount: 4 }]);
  await harness.run(500);
  for (const task of host.runningTasks) host.end(task, "done");
  await harness.run(2_500);
};

test("run time distributions are handed to the next leader if the order uses them", async () => {
  const before = new EngineHarness({ order: ORDER });
  await learnFrom(before);
  const record = before.learned.findLast(({ kind }) => kind === "estimates");
  if (record?.kind !== "estimates") throw new Error("nothing learned");
  const read = decodeLearned("estimates", encodeLearned(record));
  expect(read).toEqual(record);
  const [queue] = record.runTimes ?? [];
  expect(queue?.tasks.reduce((sum, [, count]) => sum + count, 0)).toEqual(4);

  const after = new EngineHarness({ order: ORDER, epoch: 2 });
  after.engine.restoreLearned([read]);
  await learnFrom(after);
  const next = after.learned.findLast(({ kind }) => kind === "estimates");
  if (next?.kind !== "estimates") throw new Error("nothing learned");
  const [taken] = next.runTimes ?? [];
  expect(taken?.tasks.reduce((sum, [, count]) => sum + count, 0)).toEqual(8);
});

test("with the default order the learned record has the same fields as before", async () => {
  const harness = new EngineHarness();
  await learnFrom(harness);
  const record = harness.learned.findLast(({ kind }) => kind === "estimates");
  expect(Object.keys(record ?? {}).sort()).toEqual([
    "corrections",
    "kind",
    "writtenAt",
  ]);
});

test("work since the last checkpoint of a failed run counts as discarded, by reason", async () => {
  const harness = new EngineHarness();
  const host = await harness.addHost("h1");
  harness.submit("j", [{ ...BULK, taskCount: 2, checkpointing: true }]);
  await harness.run(100);
  // They do not crawl.
  for (const task of host.runningTasks) host.setReading(task, 1_000);
  await harness.run(1_000);
  host.saveCheckpoint(taskId("j.0.0.0"), "half");
  await harness.run(1_000);
  host.end(taskId("j.0.0.0"), "failed");
  host.end(taskId("j.0.0.1"), "failed");
  await harness.run(100);
  const { failed = 0 } = await discardedOf(harness);
  // About 1 s since the checkpoint, and 2 s of the task without one, on a core each.
  expect(failed).toBeGreaterThan(2_800);
  expect(failed).toBeLessThan(3_500);
});

test("a stop that saves a checkpoint discards nothing, and one without does", async () => {
  const harness = new EngineHarness();
  const hosts = [await harness.addHost("h1"), await harness.addHost("h2")];
  harness.submit("f", [{ ...BULK, checkpointing: true }]);
  await harness.run(100);
  for (const host of hosts) host.setReading(taskId("f.0.0.0"), 100);
  await harness.run(1_700);
  expect(await harness.metrics.total("task_stops")).toBeGreaterThan(0);
  expect(await discardedOf(harness)).toEqual({});
  hosts.forEach((host) => host.replaceWorker());
  await harness.run(500);
  const { "worker-replaced": lost = 0 } = await discardedOf(harness);
  expect(lost).toBeGreaterThan(0);
});

const stallOf = async (
  weighsDiscardedWork: boolean,
  checkpointing: boolean,
): Promise<FakeHost> => {
  const harness = new EngineHarness({ policy: { weighsDiscardedWork } });
  const host = await harness.addHost("h1");
  const estimateMs = 20_000;
  harness.submit("f", [{ filling: true, checkpointing, estimateMs }]);
  await harness.run(100);
  host.setReading(taskId("f.0.0.0"), 1_000);
  // Reports list 90 % of progress, so a stop discards 18 s of work.
  await harness.run(9_000);
  return host;
};

test("a stalled task without checkpoints is not stopped for less than the stop discards", async () => {
  expect((await stallOf(false, false)).stops.length).toEqual(1);
  expect((await stallOf(true, true)).stops.length).toEqual(1);
  expect((await stallOf(true, false)).stops.length).toEqual(0);
});

test("operators see bulk jobs in progress, the rate and which jobs wait", async () => {
  const lines: string[] = [];
  const logger = createLogger({
    level: "info",
    write: (line) => void lines.push(line),
  });
  const harness = new EngineHarness({
    order: ORDER,
    logger,
    policy: { overfillsFreeHosts: false },
  });
  const host = await harness.addHost("h1");
  for (const id of ["a", "b", "c"])
    harness.submit(id, [{ ...BULK, taskCount: 32 }]);
  for (let turn = 0; turn < 40; turn += 1) {
    await harness.run(100);
    const [oldest] = host.runningTasks;
    if (oldest) host.end(oldest, "done");
  }
  const rendered = await harness.metrics.render();
  expect(rendered).toMatchRegex(/bulk_jobs\{priority="0",state="begun"\} [12]/);
  expect(rendered).toMatchRegex(/bulk_jobs\{priority="0",state="waiting"\} \d/);
  expect(rendered).toMatchRegex(/bulk_rate_cores\{priority="0"\} \d+\.\d/);
  const line = lines.find((one) => one.includes("bulk.backlog"));
  expect(line).not.toEqual(undefined);
  expect(line ?? "").toMatchRegex(/waiting=[12].*rule=\S+.*next=\S*[abc]/);
  harness.engine.stop();
  expect(await harness.metrics.render()).toMatchRegex(
    /bulk_jobs\{priority="0",state="begun"\} 0/,
  );
});
