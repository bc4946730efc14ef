/** Whether the largest bulk jobs are served while more is asked for than a site can do. */

import { test } from "node:test";
import { expect } from "earl";
import { simulateAdmission } from "./simulateAdmission.js";

/** The largest tenth has to be served at least this often, relative to all jobs. */
const MIN_RELATIVE_SHARE = 0.5;

// Guards against starving large jobs while smaller ones keep arriving.
test("at 1.5 times the usual arrivals with a tail, the largest tenth of bulk jobs is served at least half as often as all", async () => {
  const starvedSeeds: number[] = [];
  for (const seed of [1, 2, 3, 4]) {
    const { bulk } = await simulateAdmission({
      seed,
      bulkFactor: 1.5,
      urgentFactor: 1.5,
      tailShare: 0.03,
      refusesHopeless: true,
    });
    const { largestServed, served } = bulk;
    if (largestServed < MIN_RELATIVE_SHARE * served) starvedSeeds.push(seed);
  }
  expect(starvedSeeds).toEqual([]);
});
