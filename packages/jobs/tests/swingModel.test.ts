import { test } from "node:test";
import { expect } from "earl";
import { SeededRandom, type Random } from "@rackspan/common";
import { shiftWave, swingAt, SwingModel } from "@rackspan/jobs";

const noise = (random: Random, deviation: number): number =>
  deviation *
  Math.sqrt(-2 * Math.log(1 - random.next())) *
  Math.cos(2 * Math.PI * random.next());

/** Feeds readings of six hosts each half second. */
const feed = (
  model: SwingModel,
  tailAt: (ms: number) => number,
  untilMs: number,
  { fromMs = 0, deviation = 0.2, seed = 1 } = {},
): void => {
  const random = new SeededRandom(seed);
  for (let at = fromMs; at < untilMs; at += 500)
    for (let host = 0; host < 6; host += 1)
      model.learn(at + host * 80, tailAt(at) + noise(random, deviation));
};

/** By how much the tail at its highest between two times exceeds that at the first. */
const riseOf = (
  model: SwingModel,
  readAt: number,
  from: number,
  until: number,
): number | undefined => {
  const highest = model.highestSwing(from, until);
  return highest && highest - (model.swingAt(readAt) ?? 0);
};

const wave =
  (periodMs: number, height = 0.35) =>
  (at: number): number =>
    -0.9 + height * Math.sin((2 * Math.PI * at) / periodMs + 1);

for (const periodMs of [11_000, 20_000, 33_000]) {
  test(`a swing with a period of ${periodMs / 1_000} s is forecast from noisy readings`, () => {
    const model = new SwingModel();
    const tailAt = wave(periodMs);
    const now = 3 * periodMs + 20_000;
    feed(model, tailAt, now);
    for (const aheadMs of [1_000, 3_000, 5_000]) {
      const at = now + aheadMs;
      const rise = riseOf(model, now, at, at);
      expect(Math.abs((rise ?? 9) - (tailAt(at) - tailAt(now)))).toBeLessThan(
        0.2,
      );
    }
  });
}

test("the highest tail of the time ahead counts, not that at its end", () => {
  const model = new SwingModel();
  const tailAt = wave(20_000);
  feed(model, tailAt, 100_000, { deviation: 0.05 });
  let highest = -Infinity;
  for (let at = 100_000; at <= 112_000; at += 100)
    highest = Math.max(highest, tailAt(at));
  const rise = riseOf(model, 100_000, 100_000, 112_000) ?? 9;
  expect(Math.abs(rise - (highest - tailAt(100_000)))).toBeLessThan(0.08);
});

test("a load without a swing gives no confident forecast", () => {
  for (const seed of [1, 2, 3, 4]) {
    const model = new SwingModel();
    feed(model, () => -0.9, 120_000, { seed });
    expect(riseOf(model, 120_000, 120_000, 125_000)).toEqual(undefined);
  }
});

test("a load that jumps at random gives no confident forecast", () => {
  const random = new SeededRandom(7);
  const jumps = Array.from({ length: 400 }, () => noise(random, 0.4));
  const model = new SwingModel();
  feed(model, (at) => -0.9 + (jumps[Math.floor(at / 4_000)] ?? 0), 200_000);
  expect(riseOf(model, 200_000, 200_000, 205_000)).toEqual(undefined);
});

test("a swing that stops loses its confidence", () => {
  const model = new SwingModel();
  feed(model, wave(20_000), 100_000);
  expect(model.confidentWave !== undefined).toEqual(true);
  feed(model, () => -0.9, 150_000, { fromMs: 100_000 });
  expect(model.confidentWave).toEqual(undefined);
});

test("a gap in the readings takes the confidence until the forecast is tested again", () => {
  const model = new SwingModel();
  feed(model, wave(20_000), 100_000);
  expect(model.confidentWave !== undefined).toEqual(true);
  feed(model, wave(20_000), 704_000, { fromMs: 700_000 });
  expect(model.confidentWave).toEqual(undefined);
});

test("nothing is forecast before half a period was seen", () => {
  const model = new SwingModel();
  feed(model, wave(20_000), 9_500);
  expect(riseOf(model, 9_500, 9_500, 12_000)).toEqual(undefined);
});

test("a restored wave is used after a few tests, and only if it still fits", () => {
  const known = new SwingModel();
  feed(known, wave(20_000), 100_000);
  const { confidentWave } = known;
  if (!confidentWave) throw new Error("no confident wave");
  const fits = new SwingModel();
  fits.restore(confidentWave);
  feed(fits, wave(20_000), 109_500, { fromMs: 100_000 });
  // A fit of half a period would replace the wave by a worse one.
  expect(fits.confidentWave?.periodMs).toEqual(confidentWave.periodMs);
  const misfits = new SwingModel();
  misfits.restore(confidentWave);
  feed(misfits, wave(20_000, -0.35), 109_500, { fromMs: 100_000 });
  expect(misfits.confidentWave).toEqual(undefined);
});

test("a shifted wave has the same values on the shifted clock", () => {
  const one = { periodMs: 20_000, level: -1, cosine: 0.2, sine: 0.3 };
  const shifted = shiftWave(one, 7_000);
  expect(swingAt(shifted, 10_000)).toBeCloseTo(swingAt(one, 3_000), 9);
});
