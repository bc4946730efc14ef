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
import { SentLease } from "@rackspan/side";

const LONGEST_MS = 10_000;
const LIFE = brand<WorkerInstance>("w1");
const NEXT_LIFE = brand<WorkerInstance>("w2");
/** Reading of the worker's clock when the side's reads 0. */
const AHEAD_MS = 50_000;

/** Longest duration of a lease of this length on the side's clock. */
const lasts = (leaseMs: number): number =>
  leaseMs * (1 + LEASE.workerClockDrift) + LEASE.marginMs;

const at = (ms: number): WorkerTime => (AHEAD_MS + ms) as unknown as WorkerTime;

const create = (longestLeaseMs = LONGEST_MS) => {
  const clock = new ManualClock();
  const sent = new SentLease({ clock, longestLeaseMs });
  sent.start();
  return { clock, sent };
};

/** A tracker whose process has run for longer than any lease of the previous process. */
const createLater = async () => {
  const { clock, sent } = create();
  await clock.advance(2 * LONGEST_MS);
  expect(sent.overInMs).toEqual(0);
  sent.recordClockReading(LIFE, at(0));
  return { clock, sent };
};

test("a restarted side counts the longest lease of the previous process", async () => {
  const { clock, sent } = create();
  expect(sent.overInMs).toEqual(lasts(LONGEST_MS));
  sent.recordClockReading(LIFE, at(0));
  sent.recordSent(LIFE, at(1_000));
  await clock.advance(3_000);
  expect(sent.overInMs).toEqual(lasts(LONGEST_MS) - 3_000);
});

test("a lease that was sent counts with the drift of the worker's clock, whether answered or not", async () => {
  const { clock, sent } = await createLater();
  sent.recordSent(LIFE, at(6_000));
  expect(sent.overInMs).toEqual(lasts(6_000));
  await clock.advance(2_000);
  expect(sent.overInMs).toEqual(lasts(6_000) - 2_000);
});

test("a shorter lease that is sent later does not shorten an earlier one", async () => {
  const { sent } = await createLater();
  sent.recordSent(LIFE, at(6_000));
  sent.recordSent(LIFE, at(2_500));
  expect(sent.overInMs).toEqual(lasts(6_000));
});

test("a lease counts from the newest clock reading, however late it is sent", async () => {
  const { clock, sent } = await createLater();
  await clock.advance(4_000);
  sent.recordSent(LIFE, at(6_000));
  expect(sent.overInMs).toEqual(lasts(6_000) - 4_000);
});

test("a lease to an incarnation whose clock is unknown counts as the longest from now", async () => {
  const { sent } = await createLater();
  sent.recordSent(NEXT_LIFE, at(100));
  expect(sent.overInMs).toEqual(lasts(LONGEST_MS));
});

test("a lease of a previous incarnation still counts once the next one has answered", async () => {
  const { sent } = await createLater();
  sent.recordSent(LIFE, at(6_000));
  sent.recordClockReading(NEXT_LIFE, 5 as unknown as WorkerTime);
  sent.recordSent(NEXT_LIFE, 1_005 as unknown as WorkerTime);
  expect(sent.overInMs).toEqual(lasts(6_000));
});

test("a suspended machine makes no lease end sooner", async () => {
  const { clock, sent } = await createLater();
  sent.recordSent(LIFE, at(6_000));
  clock.suspend(5_000);
  expect(sent.overInMs).toEqual(lasts(6_000));
});

test("without a known longest lease the end of all leases is unknown", async () => {
  const { clock, sent } = create(Infinity);
  await clock.advance(60_000);
  expect(sent.overInMs).toEqual(undefined);
});
