import { test } from "node:test";
import { expect } from "earl";
import {
  brand,
  type JobTaskId,
  type RunNumber,
  type WorkerInstance,
} from "@rackspan/common";
import type { PaceOrder } from "@rackspan/ports";
import {
  buildPacer,
  EPOCH,
  GRACE_MS,
  INSTANCE,
  LOOK_MS,
  row,
  runOf,
} from "./buildPacer.js";

/** A tail just over the target. */
const HOT_MS = 10.5;

const setUp = () => {
  const orders: PaceOrder[] = [];
  const host = {
    pace: async (_: WorkerInstance, order: PaceOrder) => {
      orders.push(order);
    },
  };
  const { clock, pacer } = buildPacer({
    host,
    fillingImages: { heavy: "render", light: "index" },
  });
  const startOf = (task: string) => pacer.recordStarting(runOf(task));
  startOf("heavy");
  startOf("light");
  const lookAt = (tailMs: number, used: number) =>
    pacer.adjust(INSTANCE, EPOCH, [
      row("server", tailMs),
      row("heavy", used),
      row("light", used),
    ]);
  const look = (tailMs: number) => lookAt(tailMs, 2_000);
  const paceOf = (task: string) =>
    orders.findLast((order) => order.task === brand<JobTaskId>(task))?.percent;
  /** Looks for some time at a tail that does not change. */
  const lookFor = async (tailMs: number, ms: number) => {
    for (let at = 0; at < ms; at += LOOK_MS) {
      look(tailMs);
      await clock.advance(LOOK_MS);
    }
  };
  return { pacer, look, lookAt, lookFor, paceOf, startOf, orders };
};

test("all filling tasks slow down while no pair is known", () => {
  const { look, paceOf } = setUp();
  look(HOT_MS);
  // Tasks use half of what they ask for; 0.9 of the target is aimed at.
  expect([paceOf("heavy"), paceOf("light")]).toEqual([43, 43]);
});

test("only the image that is known to disturb is slowed", () => {
  const { pacer, look, paceOf } = setUp();
  pacer.updateDisturbances([
    { serving: "web", filling: "render", weight: 0.2 },
  ]);
  look(2);
  look(HOT_MS);
  // Two cores add 0.4 to the logarithm, which must shrink by 0.15.
  expect([paceOf("heavy"), paceOf("light")]).toEqual([31, undefined]);
});

test("the same reading, looked at again, does not slow a task twice", () => {
  const { pacer, look, paceOf, orders } = setUp();
  pacer.updateDisturbances([
    { serving: "web", filling: "render", weight: 0.2 },
  ]);
  look(2);
  look(HOT_MS);
  look(HOT_MS);
  expect([paceOf("heavy"), orders.length]).toEqual([31, 1]);
});

test("a slowed task speeds up again only while the tail has slack", () => {
  const { pacer, look, paceOf } = setUp();
  pacer.updateDisturbances([
    { serving: "web", filling: "render", weight: 0.2 },
  ]);
  look(2);
  look(HOT_MS);
  look(9);
  expect(paceOf("heavy")).toEqual(31);
  look(5);
  expect(paceOf("heavy")).toEqual(62);
});

test("a task speeds up by what is left to the aim, then by a few points a look", () => {
  const { pacer, look, paceOf } = setUp();
  pacer.updateDisturbances([
    { serving: "web", filling: "render", weight: 0.4 },
  ]);
  look(2);
  look(HOT_MS);
  expect(paceOf("heavy")).toEqual(40);
  // A tail of 0.7 may grow by 0.25; 0.8 is what two cores add.
  look(7);
  expect(paceOf("heavy")).toEqual(66);
  look(7);
  expect(paceOf("heavy")).toEqual(74);
});

test("a task is slowed no further than to its least pace, and not ordered again there", () => {
  const { look, lookAt, paceOf, orders } = setUp();
  for (const used of [2_000, 500, 160, 160, 160]) lookAt(30, used);
  expect(paceOf("heavy")).toEqual(4);
  const settled = orders.length;
  look(30);
  expect(orders.length).toEqual(settled);
});

test("a new task begins at the pace that the tails allow", () => {
  const { pacer, paceOf, startOf } = setUp();
  pacer.updateDisturbances([
    { serving: "web", filling: "render", weight: 0.3 },
  ]);
  startOf("heavy");
  pacer.adjust(INSTANCE, EPOCH, [row("server", 4), row("heavy", 0)]);
  // A tail of 0.4 may grow by 0.81, of the 1.2 that the whole task would add:
  // 68 %, and some points more while the tail has slack.
  expect(paceOf("heavy")).toEqual(76);
});

test("a new task starts at the pace of those of its image", () => {
  const { pacer, look, paceOf, startOf, orders } = setUp();
  look(30);
  expect(paceOf("heavy")).toEqual(20);
  pacer.describe(brand<JobTaskId>("heavy2"), {
    kind: "filling",
    image: "render",
    tailTargetMs: 0,
    milliCores: 4_000,
  });
  pacer.updateDisturbances([
    { serving: "web", filling: "render", weight: 0.3 },
  ]);
  startOf("heavy2");
  pacer.adjust(INSTANCE, EPOCH, [
    row("server", 9),
    row("heavy", 500),
    row("heavy2", 0),
  ]);
  const given = orders.find(({ task }) => task === brand<JobTaskId>("heavy2"));
  expect([paceOf("heavy"), given?.percent]).toEqual([20, 20]);
});

test("every filling task is slowed, then stands still, while a tail stays over its target", async () => {
  const { pacer, look, lookFor, paceOf } = setUp();
  pacer.updateDisturbances([
    { serving: "web", filling: "render", weight: 0.2 },
  ]);
  look(2);
  await lookFor(11, 1_000);
  expect(paceOf("light")).toEqual(undefined);
  look(11);
  expect(paceOf("light")).toEqual(20);
  await lookFor(11, GRACE_MS * 0.6);
  expect([paceOf("heavy"), paceOf("light")]).toEqual([0, 0]);
  // The tail is right again, and no more: they go on at their least pace.
  look(9);
  expect([paceOf("heavy"), paceOf("light")]).toEqual([4, 12]);
  look(5);
  expect([paceOf("heavy"), paceOf("light")]).toEqual([12, 24]);
});

test("a short time over the target does not count against what was learnt", async () => {
  const { pacer, lookFor, paceOf } = setUp();
  pacer.updateDisturbances([
    { serving: "web", filling: "render", weight: 0.2 },
  ]);
  for (let turn = 0; turn < 5; turn += 1) {
    await lookFor(11, 750);
    await lookFor(9.5, 250);
  }
  expect(paceOf("light")).toEqual(undefined);
});

test("a run that an earlier process started is given a pace by what it uses", () => {
  const { pacer, paceOf, orders } = setUp();
  pacer.updateDisturbances([
    { serving: "web", filling: "render", weight: 0.2 },
  ]);
  pacer.adjust(INSTANCE, EPOCH, [
    row("server", 9),
    { ...row("heavy", 1_000), run: brand<RunNumber>(2) },
  ]);
  expect(paceOf("heavy")).toEqual(25);
  pacer.adjust(INSTANCE, EPOCH, [
    row("server", 5),
    { ...row("heavy", 3_000), run: brand<RunNumber>(2) },
  ]);
  expect(orders.map(({ percent }) => percent)).toEqual([25, 50]);
});

test("a run that is not listed yet keeps the full pace that it starts with", () => {
  const { pacer, orders, startOf } = setUp();
  startOf("heavy");
  pacer.adjust(INSTANCE, EPOCH, [row("server", 5)]);
  pacer.adjust(INSTANCE, EPOCH, [row("server", 5), row("heavy", 0)]);
  expect(orders).toEqual([]);
});

test("a task's first pace is ordered at once, and speeds up while the tail has slack", () => {
  const { pacer, look, paceOf, orders } = setUp();
  const ref = runOf("heavy");
  pacer.updateDisturbances([
    { serving: "web", filling: "render", weight: 0.2 },
  ]);
  const first = { instance: INSTANCE, epoch: EPOCH, firstPercent: 30 };
  pacer.orderFirstPace({ ...ref, ...first });
  expect([paceOf("heavy"), orders.length]).toEqual([30, 1]);
  look(9);
  expect(paceOf("heavy")).toEqual(30);
  look(3);
  expect((paceOf("heavy") ?? 0) > 30).toEqual(true);
});

test("a first pace that comes after a look changes nothing", () => {
  const { pacer, look, paceOf, orders } = setUp();
  look(2);
  const ref = runOf("heavy");
  const first = { instance: INSTANCE, epoch: EPOCH, firstPercent: 30 };
  pacer.orderFirstPace({ ...ref, ...first });
  expect([paceOf("heavy"), orders.length]).toEqual([undefined, 0]);
});
