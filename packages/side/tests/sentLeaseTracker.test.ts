/** Upper bound for the time until which a worker may run anything, from the leases that its side sent. */

import { test } from "node:test";
import { expect } from "earl";
import {
  brand,
  ManualClock,
  type WorkerInstance,
  type WorkerTime,
} from "@rackspan/common";
import { LEASE } from "@rackspan/leadership";
import { SentLeaseTracker } from "@rackspan/side";

const LONGEST_MS = 10_000;
const FIRST = brand<WorkerInstance>("w1");
const NEXT = brand<WorkerInstance>("w2");
/** Reading of the worker's clock when the side's reads 0. */
const CLOCK_OFFSET_MS = 50_000;

/** Longest duration of a lease of this length on the side's clock. */
const maxDurationMs = (leaseMs: number): number =>
  leaseMs * (1 + LEASE.workerClockDrift) + LEASE.marginMs;

const at = (ms: number): WorkerTime =>
  (CLOCK_OFFSET_MS + ms) as unknown as WorkerTime;

const create = (longestLeaseMs = LONGEST_MS) => {
  const clock = new ManualClock();
  const tracker = new SentLeaseTracker({ clock, longestLeaseMs });
  tracker.start();
  return { clock, tracker };
};

/** A tracker whose process has run for longer than any lease of the previous process. */
const createAfterExpiry = async () => {
  const { clock, tracker } = create();
  await clock.advance(2 * LONGEST_MS);
  expect(tracker.overInMs).toEqual(0);
  tracker.recordClockReading(FIRST, at(0));
  return { clock, tracker };
};

test("a restarted side counts the longest lease of the previous process", async () => {
  const { clock, tracker } = create();
  expect(tracker.overInMs).toEqual(maxDurationMs(LONGEST_MS));
  tracker.recordClockReading(FIRST, at(0));
  tracker.recordSent(FIRST, at(1_000));
  await clock.advance(3_000);
  expect(tracker.overInMs).toEqual(maxDurationMs(LONGEST_MS) - 3_000);
});

test("a lease that was sent counts with the drift of the worker's clock, whether answered or not", async () => {
  const { clock, tracker } = await createAfterExpiry();
  tracker.recordSent(FIRST, at(6_000));
  expect(tracker.overInMs).toEqual(maxDurationMs(6_000));
  await clock.advance(2_000);
  expect(tracker.overInMs).toEqual(maxDurationMs(6_000) - 2_000);
});

test("a shorter lease that is sent later does not shorten an earlier one", async () => {
  const { tracker } = await createAfterExpiry();
  tracker.recordSent(FIRST, at(6_000));
  tracker.recordSent(FIRST, at(2_500));
  expect(tracker.overInMs).toEqual(maxDurationMs(6_000));
});

test("a lease counts from the newest clock reading, however late it is sent", async () => {
  const { clock, tracker } = await createAfterExpiry();
  await clock.advance(4_000);
  tracker.recordSent(FIRST, at(6_000));
  expect(tracker.overInMs).toEqual(maxDurationMs(6_000) - 4_000);
});

test("a lease to an incarnation whose clock is unknown counts as the longest from now", async () => {
  const { tracker } = await createAfterExpiry();
  tracker.recordSent(NEXT, at(100));
  expect(tracker.overInMs).toEqual(maxDurationMs(LONGEST_MS));
});

test("a lease of a previous incarnation still counts once the next one has answered", async () => {
  const { tracker } = await createAfterExpiry();
  tracker.recordSent(FIRST, at(6_000));
  tracker.recordClockReading(NEXT, 5 as unknown as WorkerTime);
  tracker.recordSent(NEXT, 1_005 as unknown as WorkerTime);
  expect(tracker.overInMs).toEqual(maxDurationMs(6_000));
});

test("a suspended machine makes no lease end sooner", async () => {
  const { clock, tracker } = await createAfterExpiry();
  tracker.recordSent(FIRST, at(6_000));
  clock.suspend(5_000);
  expect(tracker.overInMs).toEqual(maxDurationMs(6_000));
});

test("without a known longest lease the end of all leases is unknown", async () => {
  const { clock, tracker } = create(Infinity);
  await clock.advance(60_000);
  expect(tracker.overInMs).toEqual(undefined);
});
