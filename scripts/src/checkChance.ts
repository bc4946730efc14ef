/**
 * `npm run check:chance -- --runs N --seed S`: measures how often jobs fail permanently although
 * their tasks crash no worker, while workers end at random.
 */

import { Command } from "commander";
import {
  addChanceOutcomes,
  runChanceSchedule,
  type ChanceOutcome,
} from "@rackspan/checker";
import { printViolations } from "./printViolations.js";
import { parseInteger } from "./parseInteger.js";

const { runs, seed } = new Command("check:chance")
  .option("--runs <n>", "schedules to run", parseInteger, 20)
  .option("--seed <s>", "seed of the first one", parseInteger, 1)
  .parse()
  .opts<{ readonly runs: number; readonly seed: number }>();

let sum: ChanceOutcome = {
  jobs: 0,
  failedPermanently: 0,
  failedWithoutCause: 0,
  violations: [],
};
for (let at = seed; at < seed + runs; at += 1) {
  const outcome = await runChanceSchedule(at);
  sum = addChanceOutcomes(sum, outcome);
  printViolations(at, outcome.violations);
}
process.stdout.write(
  `${runs} schedules from seed ${seed}: ${sum.jobs} jobs, ${sum.failedPermanently} given up, ` +
    `${sum.failedWithoutCause} of them without cause\n`,
);
