/** Order by worth serves callers no worse than by slack where there is too much bulk work. */

import { test } from "node:test";
import { expect } from "earl";
import { simulateOverload, type OverloadResult } from "./simulateOverload.js";

/** Twice what a site is built for is the most that its users have planned for. */
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

test("past what a site can do callers get no less by worth than by slack, and large jobs are served too", async () => {
  const bySlack = await simulateAll("bySlack");
  const byUtility = await simulateAll("byWorth");
  const meanUtility = (results: readonly OverloadResult[]): number =>
    mean(results.map((one) => one.utilityShare));
  expect(meanUtility(byUtility)).toBeGreaterThanOrEqual(meanUtility(bySlack));
  // The users' rule of sizes: the largest tenth at least half as often as all.
  for (const {
    largestServedShare: largestServed,
    servedShare: served,
  } of byUtility) {
    expect(largestServed).toBeGreaterThanOrEqual(served / 2);
  }
});
