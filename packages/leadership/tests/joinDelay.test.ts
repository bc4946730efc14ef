/** Join delays: entries that lose their leader at the same time rarely join at the same time. */

import { test } from "node:test";
import { expect } from "earl";
import { SeededRandom } from "@rackspan/common";
import { JOIN_DELAY, joinDelayMs } from "@rackspan/leadership";

/** Time from an entry's last poll until other entries can see its join in the store. */
const CALL_MS = 8;
const ELECTIONS = 4_000;

/** Share of elections in which a second entry joins before it can see the first one. */
const collisionRate = (
  entries: number,
  delayOf: (randomValue: number) => number,
): number => {
  const random = new SeededRandom(35);
  let collided = 0;
  for (let election = 0; election < ELECTIONS; election += 1) {
    const [first = 0, second = 0] = Array.from({ length: entries }, () =>
      delayOf(random.next()),
    ).sort((a, b) => a - b);
    if (second - first < CALL_MS) collided += 1;
  }
  return collided / ELECTIONS;
};

const uniformDelay = (randomValue: number): number =>
  randomValue * JOIN_DELAY.windowMs;
const skewedDelay = (randomValue: number): number =>
  joinDelayMs(randomValue, false);

test("thirty-five entries collide less than half as often as with uniform delays", () => {
  const before = collisionRate(35, uniformDelay);
  const after = collisionRate(35, skewedDelay);
  expect(after < before / 2).toEqual(true);
});

test("three entries collide in less than a fifth of elections", () => {
  expect(collisionRate(3, skewedDelay) < 0.2).toEqual(true);
});

test("delays stay within the window, and low-priority entries wait longer than all others", () => {
  expect(joinDelayMs(0, false)).toEqual(0);
  expect(joinDelayMs(1, false)).toBeCloseTo(JOIN_DELAY.windowMs, 0.001);
  expect(joinDelayMs(0, true) > joinDelayMs(1, false)).toEqual(true);
});
