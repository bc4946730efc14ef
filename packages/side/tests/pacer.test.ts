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
  POLL_INTERVAL_MS,
  row,
  runOf,
} from "./buildPacer.js";

/** Tail latency just over the target. */
const ABOVE_TARGET_MS = 10.5;

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
  const pollAt = (tailMs: number, used: number) =>
    pacer.adjust(INSTANCE, EPOCH, [
      row("server", tailMs),
      row("heavy", used),
      row("light", used),
    ]);
  const poll = (tailMs: number) => pollAt(tailMs, 2_000);
  const paceOf = (task: string) =>
    orders.findLast((order) => order.task === brand<JobTaskId>(task))?.percent;
  /** Polls a constant tail latency for some time. */
  const pollFor = async (tailMs: number, ms: number) => {
    for (let at = 0; at < ms; at += POLL_INTERVAL_MS) {
      poll(tailMs);
      await clock.advance(POLL_INTERVAL_MS);
    }
  };
  return { pacer, poll, pollAt, pollFor, paceOf, startOf, orders };
};

test("all filling tasks slow down while no interference weight is known", () => {
  const { poll, paceOf } = setUp();
  poll(ABOVE_TARGET_MS);
  // Tasks use half of what they request; the aim is 0.9 of the target.
  expect([paceOf("heavy"), paceOf("light")]).toEqual([43, 43]);
});

test("only the image that is known to disturb is slowed down", () => {
  const { pacer, poll, paceOf } = setUp();
  pacer.updateDisturbances([
    { serving: "web", filling: "render", weight: 0.2 },
  ]);
  poll(2);
  poll(ABOVE_TARGET_MS);
  // Two cores add 0.4 to the logarithm, which must shrink by 0.15.
  expect([paceOf("heavy"), paceOf("light")]).toEqual([31, undefined]);
});

test("polling the same reading again does not slow a task down twice", () => {
  const { pacer, poll, paceOf, orders } = setUp();
  pacer.updateDisturbances([
    { serving: "web", filling: "render", weight: 0.2 },
  ]);
  poll(2);
  poll(ABOVE_TARGET_MS);
  poll(ABOVE_TARGET_MS);
  expect([paceOf("heavy"), orders.length]).toEqual([31, 1]);
});

test("a slowed task speeds up again only while the tail has headroom", () => {
  const { pacer, poll, paceOf } = setUp();
  pacer.updateDisturbances([
    { serving: "web", filling: "render", weight: 0.2 },
  ]);
  poll(2);
  poll(ABOVE_TARGET_MS);
  poll(9);
  expect(paceOf("heavy")).toEqual(31);
  poll(5);
  expect(paceOf("heavy")).toEqual(62);
});

test("a task speeds up by the headroom left to the aim, then by a few points per poll", () => {
  const { pacer, poll, paceOf } = setUp();
  pacer.updateDisturbances([
    { serving: "web", filling: "render", weight: 0.4 },
  ]);
  poll(2);
  poll(ABOVE_TARGET_MS);
  expect(paceOf("heavy")).toEqual(40);
  // A tail of 0.7 may grow by 0.25 (logarithm); two cores add 0.8.
  poll(7);
  expect(paceOf("heavy")).toEqual(66);
  poll(7);
  expect(paceOf("heavy")).toEqual(74);
});

test("a task is not slowed below the least pace, and that pace is not ordered again", () => {
  const { poll, pollAt, paceOf, orders } = setUp();
  for (const used of [2_000, 500, 160, 160, 160]) pollAt(30, used);
  expect(paceOf("heavy")).toEqual(4);
  const settled = orders.length;
  poll(30);
  expect(orders.length).toEqual(settled);
});

test("a new task starts at the pace that the tails allow", () => {
  const { pacer, paceOf, startOf } = setUp();
  pacer.updateDisturbances([
    { serving: "web", filling: "render", weight: 0.3 },
  ]);
  startOf("heavy");
  pacer.adjust(INSTANCE, EPOCH, [row("server", 4), row("heavy", 0)]);
  // A tail of 0.4 may grow by 0.81 of the 1.2 that the task would add at full pace: 68 %,
  // and some points more while the tail has headroom.
  expect(paceOf("heavy")).toEqual(76);
});

test("a new task starts at the pace of other tasks of its image", () => {
  const { pacer, poll, paceOf, startOf, orders } = setUp();
  poll(30);
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

test("every filling task is slowed down, then halted, while a tail stays over its target", async () => {
  const { pacer, poll, pollFor, paceOf } = setUp();
  pacer.updateDisturbances([
    { serving: "web", filling: "render", weight: 0.2 },
  ]);
  poll(2);
  await pollFor(11, 1_000);
  expect(paceOf("light")).toEqual(undefined);
  poll(11);
  expect(paceOf("light")).toEqual(20);
  await pollFor(11, GRACE_MS * 0.6);
  expect([paceOf("heavy"), paceOf("light")]).toEqual([0, 0]);
  // The tail is back at its aim without headroom: the tasks resume at their least pace.
  poll(9);
  expect([paceOf("heavy"), paceOf("light")]).toEqual([4, 12]);
  poll(5);
  expect([paceOf("heavy"), paceOf("light")]).toEqual([12, 24]);
});

test("a tail that is over its target for a short time does not invalidate the learned weights", async () => {
  const { pacer, pollFor, paceOf } = setUp();
  pacer.updateDisturbances([
    { serving: "web", filling: "render", weight: 0.2 },
  ]);
  for (let turn = 0; turn < 5; turn += 1) {
    await pollFor(11, 750);
    await pollFor(9.5, 250);
  }
  expect(paceOf("light")).toEqual(undefined);
});

test("a run that a previous process started gets a pace derived from its usage", () => {
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

test("a task's first pace is ordered at once and raised while the tail has headroom", () => {
  const { pacer, poll, paceOf, orders } = setUp();
  const ref = runOf("heavy");
  pacer.updateDisturbances([
    { serving: "web", filling: "render", weight: 0.2 },
  ]);
  const first = { instance: INSTANCE, epoch: EPOCH, firstPercent: 30 };
  pacer.orderFirstPace({ ...ref, ...first });
  expect([paceOf("heavy"), orders.length]).toEqual([30, 1]);
  poll(9);
  expect(paceOf("heavy")).toEqual(30);
  poll(3);
  expect((paceOf("heavy") ?? 0) > 30).toEqual(true);
});

test("a first pace that comes after a poll listed the run changes nothing", () => {
  const { pacer, poll, paceOf, orders } = setUp();
  poll(2);
  const ref = runOf("heavy");
  const first = { instance: INSTANCE, epoch: EPOCH, firstPercent: 30 };
  pacer.orderFirstPace({ ...ref, ...first });
  expect([paceOf("heavy"), orders.length]).toEqual([undefined, 0]);
});
