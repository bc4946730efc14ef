/**
 * Guards against an order of bulk work that earns less than that by utility, at the
 * capacity or above it. Prints the figures of both orders; BULK_LOAD_SEEDS sets the
 * number of seeds (2 by default, to keep the test short).
 */

import { test } from "node:test";
import { expect } from "earl";
import { simulateBulkLoad, type BulkLoadResult } from "./simulateBulkLoad.js";

const LOADS = [1, 1.25, 1.5];
const TAIL_SHARES = [0, 0.03];
const ORDERS = ["byWorth", "byCompletion"] as const;
const seedCount = Number(process.env["BULK_LOAD_SEEDS"] ?? 2);

const FIGURES = [
  "inTime",
  "late",
  "worthless",
  "utility",
  "wastedCoreMs",
  "wastedShare",
  "largestServed",
  "urgentInTime",
] as const satisfies readonly (keyof BulkLoadResult)[];

type Figures = Readonly<Record<(typeof FIGURES)[number], number>>;

const meanOf = (results: readonly BulkLoadResult[]): Figures => {
  const mean = (figure: keyof BulkLoadResult): number =>
    results.reduce((sum, one) => sum + one[figure], 0) / results.length;
  return Object.fromEntries(
    FIGURES.map((figure) => [figure, mean(figure)]),
  ) as unknown as Figures;
};

const simulate = async (
  order: string,
  load: number,
  tailShare: number,
): Promise<Figures> => {
  const results: BulkLoadResult[] = [];
  for (let seed = 1; seed <= seedCount; seed += 1)
    results.push(await simulateBulkLoad({ order, seed, load, tailShare }));
  return meanOf(results);
};

const describe = (figures: Figures): string =>
  FIGURES.map((name) => `${name} ${+figures[name].toFixed(3)}`).join(", ");

test("byCompletion earns no less than byWorth at the capacity and on the mean of all loads", async (t) => {
  const total = { byWorth: 0, byCompletion: 0 };
  for (const tailShare of TAIL_SHARES) {
    for (const load of LOADS) {
      const figures = {
        byWorth: await simulate("byWorth", load, tailShare),
        byCompletion: await simulate("byCompletion", load, tailShare),
      };
      for (const order of ORDERS) {
        total[order] += figures[order].utility;
        const setup = `load ${load}, tail ${tailShare}, ${order}`;
        t.diagnostic(`${setup}: ${describe(figures[order])}`);
      }
      const { byCompletion, byWorth } = figures;
      expect(byCompletion.urgentInTime).toBeGreaterThanOrEqual(
        byWorth.urgentInTime - 0.01,
      );
      if (load === 1)
        expect(byCompletion.utility).toBeGreaterThanOrEqual(byWorth.utility);
      // Where many run times have a tail, large jobs are late with any order.
      if (tailShare === 0)
        expect(byCompletion.largestServed).toBeGreaterThanOrEqual(0.5);
    }
  }
  expect(total.byCompletion).toBeGreaterThanOrEqual(total.byWorth);
});
