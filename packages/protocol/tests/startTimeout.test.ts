/** When a time-out fires, including after suspensions of its own process. */

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

test("without a suspension a time-out fires once, when it is due", async () => {
  const { clock, firedAt } = start();
  await clock.advance(10 * TIMEOUT_MS);
  expect(firedAt).toEqual([TIMEOUT_MS]);
});

test("a time-out that is due after a suspension is extended by the delay", async () => {
  const { clock, firedAt } = start();
  await clock.advance(250);
  clock.freeze(150);
  await clock.advance(10 * TIMEOUT_MS);
  expect(firedAt).toEqual([500]);
});

test("a suspension that ends before the time-out is due does not extend it", async () => {
  const { clock, firedAt } = start();
  clock.freeze(250);
  await clock.advance(10 * TIMEOUT_MS);
  expect(firedAt).toEqual([TIMEOUT_MS]);
});

test("after a suspension of any length, the time-out is extended by at most its own duration", async () => {
  const { clock, firedAt } = start();
  clock.freeze(100 * TIMEOUT_MS);
  await clock.advance(10 * TIMEOUT_MS);
  expect(firedAt).toEqual([101 * TIMEOUT_MS]);
});

test("repeated suspensions do not extend a time-out indefinitely", async () => {
  const { clock, firedAt } = start();
  clock.freeze(2 * TIMEOUT_MS);
  await clock.advance(0);
  clock.freeze(2 * TIMEOUT_MS);
  await clock.advance(0);
  expect(firedAt).toEqual([4 * TIMEOUT_MS]);
});

test("a cancelled time-out does not fire, even after it was extended", async () => {
  const { clock, firedAt, timer } = start();
  clock.freeze(2 * TIMEOUT_MS);
  await clock.advance(0);
  timer.cancel();
  await clock.advance(10 * TIMEOUT_MS);
  expect(firedAt).toEqual([]);
});
