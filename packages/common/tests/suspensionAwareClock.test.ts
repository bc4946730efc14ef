/** Which clock jumps count as a suspension of the machine. */

import { test } from "node:test";
import { expect } from "earl";
import { SuspensionAwareClock } from "@rackspan/common";

const createClock = () => {
  const at = { steady: 1_000, wall: 1_700_000_000_000 };
  const clock = new SuspensionAwareClock(
    () => at.steady,
    () => at.wall,
  );
  const startedAt = clock.read();
  const advance = (steadyMs: number, wallMs: number): number => {
    at.steady += steadyMs;
    at.wall += wallMs;
    return clock.read() - startedAt;
  };
  return { advance };
};

test("time during which the steady clock stopped is counted", () => {
  const { advance } = createClock();
  expect(advance(100, 100)).toEqual(100);
  expect(advance(10, 5_010)).toEqual(5_110);
  expect(advance(100, 100)).toEqual(5_210);
});

test("setting the time of day back subtracts nothing", () => {
  const { advance } = createClock();
  expect(advance(100, -3_000)).toEqual(100);
  expect(advance(100, 100)).toEqual(200);
});

test("slow drift between the clocks does not count as a suspension", () => {
  const { advance } = createClock();
  let elapsed = 0;
  for (let second = 0; second < 100; second += 1)
    elapsed = advance(1_000, 1_001);
  expect(elapsed).toEqual(100_000);
});
