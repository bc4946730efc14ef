/** Which clock jumps count as a suspension of the machine. */

import { test } from "node:test";
import { expect } from "earl";
import { SuspensionAwareClock } from "@rackspan/common";

const meterOf = () => {
  const at = { steady: 1_000, wall: 1_700_000_000_000 };
  const meter = new SuspensionAwareClock(
    () => at.steady,
    () => at.wall,
  );
  const began = meter.read();
  const pass = (steadyMs: number, wallMs: number): number => {
    at.steady += steadyMs;
    at.wall += wallMs;
    return meter.read() - began;
  };
  return { pass };
};

test("time during which the steady clock stopped is counted", () => {
  const { pass } = meterOf();
  expect(pass(100, 100)).toEqual(100);
  expect(pass(10, 5_010)).toEqual(5_110);
  expect(pass(100, 100)).toEqual(5_210);
});

test("setting the time of day back subtracts nothing", () => {
  const { pass } = meterOf();
  expect(pass(100, -3_000)).toEqual(100);
  expect(pass(100, 100)).toEqual(200);
});

test("slow drift between the clocks does not count as a suspension", () => {
  const { pass } = meterOf();
  let passed = 0;
  for (let second = 0; second < 100; second += 1) passed = pass(1_000, 1_001);
  expect(passed).toEqual(100_000);
});
