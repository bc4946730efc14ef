/** Whether the largest bulk jobs are served under overload where every job is accepted, as deployed. */

import { test } from "node:test";
import { expect } from "earl";
import { simulateAdmission } from "./simulateAdmission.js";

/** The largest tenth has to be served at least this often, relative to all jobs. */
const MIN_RELATIVE_SHARE = 0.5;

const simulateDeployed = async (seed: number) => {
  const { bulk } = await simulateAdmission({
    seed,
    bulkFactor: 1.5,
    urgentFactor: 1.5,
    tailShare: 0.03,
    refusesHopeless: false,
  });
  return bulk;
};

/** @returns the seeds on which the largest tenth is served too seldom */
const starvedAmong = async (seeds: readonly number[]): Promise<number[]> => {
  const starved: number[] = [];
  for (const seed of seeds) {
    const { largestServed, served } = await simulateDeployed(seed);
    if (largestServed < MIN_RELATIVE_SHARE * served) starved.push(seed);
  }
  return starved;
};

// Guards against starving large jobs with the settings of deploy/entry.jsonc, which refuse nobody.
test("as deployed, at 1.5 times the usual arrivals, the largest tenth is served at least half as often as all", async () => {
  expect(await starvedAmong([1, 2, 3, 4])).toEqual([]);
});

test("as deployed, on six further seeds, the largest tenth is served at least half as often as all", async () => {
  expect(await starvedAmong([31, 32, 33, 34, 35, 36])).toEqual([]);
});

// One seed has ten or eleven such jobs, so that chance moves its share by tenths.
test("as deployed, over six further seeds together, the largest tenth is served at least half as often as all", async () => {
  let largestServed = 0;
  let served = 0;
  for (const seed of [31, 32, 33, 34, 35, 36]) {
    const bulk = await simulateDeployed(seed);
    largestServed += bulk.largestServed;
    served += bulk.served;
  }
  expect(largestServed).toBeGreaterThanOrEqual(MIN_RELATIVE_SHARE * served);
});
