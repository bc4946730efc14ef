/** `npm run check:histories -- --runs N --seed S`: runs random schedules and prints the shortest one that fails. */

import { Command, InvalidArgumentError } from "commander";
import fc from "fast-check";
import {
  MUTANTS,
  runSchedule,
  schedules,
  type Mutant,
} from "@rackspan/checker";
import { parseInteger } from "./parseInteger.js";

interface Options {
  readonly runs: number;
  readonly seed: number;
  readonly mutant?: Mutant;
}

const mutantName = (text: string): Mutant => {
  const mutant = MUTANTS.find((name) => name === text);
  if (!mutant) throw new InvalidArgumentError(`one of: ${MUTANTS.join(", ")}`);
  return mutant;
};

const { runs, seed, mutant } = new Command("check:histories")
  .option("--runs <n>", "schedules to run", parseInteger, 1_000)
  .option("--seed <s>", "seed of the schedules", parseInteger, 1)
  .option("--mutant <name>", "disable a safety step", mutantName)
  .parse()
  .opts<Options>();

const result = await fc.check(
  fc.asyncProperty(schedules, async (schedule) => {
    const { violations } = await runSchedule(schedule, mutant);
    return violations.length === 0;
  }),
  { seed, numRuns: runs },
);

if (!result.failed) {
  process.stdout.write(
    `${result.numRuns} schedules of seed ${seed}: no violation\n`,
  );
} else {
  const [schedule] = result.counterexample ?? [];
  process.exitCode = 1;
  process.stdout.write(
    `seed ${seed}, failed after ${result.numRuns} schedules and ${result.numShrinks} shrinks\n`,
  );
  if (schedule) {
    for (const { step, waitMs } of schedule.steps) {
      process.stdout.write(`${JSON.stringify(step)}, then ${waitMs} ms\n`);
    }
    const { violations } = await runSchedule(schedule, mutant);
    for (const { invariant, detail, at } of violations) {
      process.stdout.write(`${invariant} at ${Math.round(at)} ms: ${detail}\n`);
    }
  }
}
