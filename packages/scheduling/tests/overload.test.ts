/** Under overload with bulk work the order by utility yields no less utility than that by slack. */

import { test } from "node:test";
import { expect } from "earl";
import { simulateOverload, type OverloadResult } from "./simulateOverload.js";

/** Users plan for at most twice the load that a site is built for. */
const LOADS = [1, 1.4, 1.8];
const SEEDS = [1, 2];

const mean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

const simulateAll = async (order: string): Promise<OverloadResult[]> => {
  const results: OverloadResult[] = [];
  for (const load of LOADS) {
    for (const seed of SEEDS) {
      results.push(await simulateOverload({ order, seed, load }));
    }
  }
  return results;
};

test("under overload the order by utility yields no less than that by slack, and large jobs are served too", async () => {
  const bySlack = await simulateAll("bySlack");
  const byUtility = await simulateAll("byWorth");
  const meanUtility = (results: readonly OverloadResult[]): number =>
    mean(results.map((one) => one.utilityShare));
  expect(meanUtility(byUtility)).toBeGreaterThanOrEqual(meanUtility(bySlack));
  // Users require that the largest tenth of the jobs is served at least half as often as all jobs.
  for (const {
    largestServedShare: largestServed,
    servedShare: served,
  } of byUtility) {
    expect(largestServed).toBeGreaterThanOrEqual(served / 2);
  }
});
