import { test } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { runSchedule, schedules } from "@rackspan/checker";

const SEEDS = [1, 2, 3, 4] as const;
const RUNS_PER_SEED = 300;

for (const seed of SEEDS) {
  test(`${RUNS_PER_SEED} schedules of seed ${seed} violate no invariant`, async () => {
    await fc.assert(
      fc.asyncProperty(schedules, async (schedule) => {
        expect((await runSchedule(schedule)).violations).toEqual([]);
      }),
      { seed, numRuns: RUNS_PER_SEED },
    );
  });
}
