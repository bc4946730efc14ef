/** Time without a run of lasting tasks whose workers are lost one after the other. */

import { test } from "node:test";
import { expect } from "earl";
import { runLastingSchedule } from "@rackspan/checker";

const SEEDS = Array.from({ length: 20 }, (_, index) => index + 1);
const LOSSES = 3;

test("lasting tasks of lost workers restart elsewhere in time although they outnumber the hosts", async () => {
  for (const seed of SEEDS) {
    const violations = await runLastingSchedule(seed, LOSSES);
    expect({ seed, violations }).toEqual({ seed, violations: [] });
  }
});
