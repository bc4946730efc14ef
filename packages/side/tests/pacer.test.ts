import { test } from "node:test";
import { expect } from "earl";
import {
  brand,
  ManualClock,
  Metrics,
  silentLogger,
  type Epoch,
  type JobTaskId,
  type RunNumber,
  type WorkerInstance,
} from "@rackspan/common";
import type { PaceOrder, RunningTask, TaskHost } from "@rackspan/ports";
import { Pacer } from "@rackspan/side";

const INSTANCE = brand<WorkerInstance>("w");
const EPOCH = brand<Epoch>(1);
const TARGET_MS = 10;
const GRACE_MS = 4_000;
/** How often the worker is looked at, milliseconds. */
const LOOK_MS = 250;

const setUp = () => {
  const orders: PaceOrder[] = [];
  const host = {
    pace: async (_: WorkerInstance, order: PaceOrder) => {
      orders.push(order);
    },
  } as unknown as TaskHost;
  const clock = new ManualClock();
  const pacer = new Pacer({
    host,
    clock,
    logger: silentLogger,
    metrics: new Metrics(),
    tailGraceMs: GRACE_MS,
  });
  const describe = (task: string, kind: "serving" | "filling", image: string) =>
    pacer.describe(brand<JobTaskId>(task), {
      kind,
      image,
      tailTargetMs: kind === "serving" ? TARGET_MS : 0,
      milliCores: 4_000,
    });
  describe("server", "serving", "web");
  describe("heavy", "filling", "render");
  describe("light", "filling", "index");
  const startOf = (task: string) =>
    pacer.noteStarted({
      task: brand<JobTaskId>(task),
      run: brand<RunNumber>(1),
    });
  startOf("heavy");
  startOf("light");
  const look = (tailMs: number) =>
    pacer.adjust(INSTANCE, EPOCH, [
      row("server", tailMs),
      row("heavy", 2_000),
      row("light", 2_000),
    ]);
  const paceOf = (task: string) =>
    orders.findLast((order) => order.task === brand<JobTaskId>(task))?.percent;
  /** Looks for some time at a tail that does not change. */
  const lookFor = async (tailMs: number, ms: number) => {
    for (let at = 0; at < ms; at += LOOK_MS) {
      look(tailMs);
      await clock.advance(LOOK_MS);
    }
  };
  return { pacer, look, lookFor, paceOf, startOf, orders };
};

const row = (task: string, reading: number): RunningTask => ({
  task: brand<JobTaskId>(task),
  run: brand<RunNumber>(1),
  checkpoint: "",
  progressPercent: 100,
  reading,
});

test("all filling tasks slow down while no pair is known", () => {
  const { look, paceOf } = setUp();
  look(9.5);
  expect([paceOf("heavy"), paceOf("light")]).toEqual([60, 60]);
});

test("only the image that is known to disturb is slowed", () => {
  const { pacer, look, paceOf } = setUp();
  pacer.learn([{ serving: "web", filling: "render", weight: 0.2 }], {});
  look(9.5);
  look(9.5);
  expect([paceOf("heavy"), paceOf("light")]).toEqual([36, undefined]);
});

test("a slowed task speeds up again only while the tail has slack", () => {
  const { pacer, look, paceOf } = setUp();
  pacer.learn([{ serving: "web", filling: "render", weight: 0.2 }], {});
  look(9.5);
  look(8);
  expect(paceOf("heavy")).toEqual(60);
  look(5);
  expect(paceOf("heavy")).toEqual(70);
});

test("a slowed task is never stopped whole, and a settled one is not ordered again", () => {
  const { look, paceOf, orders } = setUp();
  for (let turn = 0; turn < 20; turn += 1) look(30);
  expect(paceOf("heavy")).toEqual(4);
  const settled = orders.length;
  look(30);
  expect(orders.length).toEqual(settled);
});

test("what the leader has learnt holds a task back before the tail rises", () => {
  const { pacer, look, paceOf } = setUp();
  const pair = { serving: "web", filling: "render", weight: 0.3 };
  pacer.learn([pair], { web: -0.9 });
  look(4);
  // Slack of 0.68 for 1.2 that the task would add: 57 %, and a quarter more.
  expect([paceOf("heavy"), paceOf("light")]).toEqual([71, undefined]);
});

test("a new task starts at the pace of those of its image", () => {
  const { pacer, look, paceOf, startOf, orders } = setUp();
  for (let turn = 0; turn < 3; turn += 1) look(30);
  expect(paceOf("heavy")).toEqual(22);
  pacer.describe(brand<JobTaskId>("heavy2"), {
    kind: "filling",
    image: "render",
    tailTargetMs: 0,
    milliCores: 4_000,
  });
  startOf("heavy2");
  pacer.adjust(INSTANCE, EPOCH, [
    row("server", 8),
    row("heavy", 2_000),
    row("heavy2", 2_000),
  ]);
  const given = orders.find(({ task }) => task === brand<JobTaskId>("heavy2"));
  expect([paceOf("heavy"), given?.percent]).toEqual([32, 32]);
});

test("every filling task is slowed, then stands still, while a tail stays over its target", async () => {
  const { pacer, look, lookFor, paceOf } = setUp();
  pacer.learn([{ serving: "web", filling: "render", weight: 0.2 }], {});
  await lookFor(11, 1_000);
  expect(paceOf("light")).toEqual(undefined);
  look(11);
  expect(paceOf("light")).toEqual(60);
  await lookFor(11, GRACE_MS * 0.6);
  expect([paceOf("heavy"), paceOf("light")]).toEqual([0, 0]);
  look(5);
  expect([paceOf("heavy"), paceOf("light")]).toEqual([10, 10]);
});

test("a short time over the target does not count against what was learnt", async () => {
  const { pacer, lookFor, paceOf } = setUp();
  pacer.learn([{ serving: "web", filling: "render", weight: 0.2 }], {});
  for (let turn = 0; turn < 5; turn += 1) {
    await lookFor(11, 750);
    await lookFor(9.5, 250);
  }
  expect(paceOf("light")).toEqual(undefined);
});

test("a run that an earlier process started is given a pace by what it uses", () => {
  const { pacer, paceOf, orders } = setUp();
  pacer.learn([{ serving: "web", filling: "render", weight: 0.2 }], {});
  pacer.adjust(INSTANCE, EPOCH, [
    row("server", 8),
    { ...row("heavy", 1_000), run: brand<RunNumber>(2) },
  ]);
  expect(paceOf("heavy")).toEqual(25);
  pacer.adjust(INSTANCE, EPOCH, [
    row("server", 5),
    { ...row("heavy", 3_000), run: brand<RunNumber>(2) },
  ]);
  expect(orders.map(({ percent }) => percent)).toEqual([25, 35]);
});

test("a run that is not listed yet keeps the full pace that it starts with", () => {
  const { pacer, orders, startOf } = setUp();
  startOf("heavy");
  pacer.adjust(INSTANCE, EPOCH, [row("server", 5)]);
  pacer.adjust(INSTANCE, EPOCH, [row("server", 5), row("heavy", 0)]);
  expect(orders).toEqual([]);
});
