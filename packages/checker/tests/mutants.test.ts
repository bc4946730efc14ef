import { test } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import {
  MUTANTS,
  runSchedule,
  schedules,
  type Mutant,
  type Schedule,
} from "@rackspan/checker";

const SEEDS = [1, 2, 3, 4] as const;
const RUNS_PER_SEED = 300;

/** Mutants that no schedule detects so far; unit tests of the side and the fold cover them. */
const UNIT_TESTED: ReadonlySet<Mutant> = new Set([
  "no-reservation-expiry",
  "no-deduplication",
]);

/** A start in flight while its side process is replaced; random schedules rarely contain one. */
const LATE_START: Schedule = {
  seed: 1,
  steps: [
    { step: { do: "delayStart", index: 0, ms: 6_000 }, waitMs: 0 },
    { step: { do: "job", index: 0, runMs: 4_000, processors: 3 }, waitMs: 780 },
    { step: { do: "killSide", index: 0 }, waitMs: 20 },
    { step: { do: "restartSide", index: 0 }, waitMs: 2_500 },
  ],
};

const isDetected = async (mutant: Mutant): Promise<boolean> => {
  if ((await runSchedule(LATE_START, mutant)).violations.length > 0)
    return true;
  for (const seed of SEEDS) {
    for (const schedule of fc.sample(schedules, {
      seed,
      numRuns: RUNS_PER_SEED,
    })) {
      const { violations } = await runSchedule(schedule, mutant);
      if (violations.length > 0) return true;
    }
  }
  return false;
};

test("the worker refuses a late start of a replaced side process", async () => {
  expect((await runSchedule(LATE_START)).violations).toEqual([]);
});

for (const mutant of MUTANTS) {
  if (UNIT_TESTED.has(mutant)) continue;
  test(`some schedule detects "${mutant}"`, async () => {
    expect(await isDetected(mutant)).toEqual(true);
  });
}
