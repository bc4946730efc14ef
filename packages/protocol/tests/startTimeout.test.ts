/** How long a time-out waits, also beside standstills of its own process. */

import { test } from "node:test";
import { expect } from "earl";
import { ManualClock } from "@rackspan/common";
import { startTimeout } from "@rackspan/protocol";

const TIMEOUT_MS = 300;

const start = () => {
  const clock = new ManualClock();
  const firedAt: number[] = [];
  const timer = startTimeout(clock, TIMEOUT_MS, () =>
    firedAt.push(clock.monotonic()),
  );
  return { clock, firedAt, timer };
};

test("without a standstill a time-out fires once, at its time", async () => {
  const { clock, firedAt } = start();
  await clock.advance(10 * TIMEOUT_MS);
  expect(firedAt).toEqual([TIMEOUT_MS]);
});

test("a time-out that is due after a standstill gives its time again", async () => {
  const { clock, firedAt } = start();
  await clock.advance(250);
  clock.freeze(150);
  await clock.advance(10 * TIMEOUT_MS);
  expect(firedAt).toEqual([500]);
});

test("a standstill before its time is over does not put a time-out off", async () => {
  const { clock, firedAt } = start();
  clock.freeze(250);
  await clock.advance(10 * TIMEOUT_MS);
  expect(firedAt).toEqual([TIMEOUT_MS]);
});

test("however long a standstill is, a silent peer gets no more than its time again", async () => {
  const { clock, firedAt } = start();
  clock.freeze(100 * TIMEOUT_MS);
  await clock.advance(10 * TIMEOUT_MS);
  expect(firedAt).toEqual([101 * TIMEOUT_MS]);
});

test("standstill after standstill does not put a time-out off for ever", async () => {
  const { clock, firedAt } = start();
  clock.freeze(2 * TIMEOUT_MS);
  await clock.advance(0);
  clock.freeze(2 * TIMEOUT_MS);
  await clock.advance(0);
  expect(firedAt).toEqual([4 * TIMEOUT_MS]);
});

test("a cancelled time-out does not fire, also when it is given time again", async () => {
  const { clock, firedAt, timer } = start();
  clock.freeze(2 * TIMEOUT_MS);
  await clock.advance(0);
  timer.cancel();
  await clock.advance(10 * TIMEOUT_MS);
  expect(firedAt).toEqual([]);
});
