/** `npm run check:jobs -- --runs N --seed S`: random schedules of the job engine. */

import { Command } from "commander";
import {
  runHarshSchedule,
  runJobSchedule,
  runCrashingSchedule,
  runEvacuatingSchedule,
  runForgettingSchedule,
  runRebornSchedule,
  runStarvedSchedule,
  runDroppedLeaderSchedule,
  runReturnSchedule,
  runSilencedSchedule,
  runSilentSuccessionSchedule,
  runSuccessionSchedule,
} from "@rackspan/checker";
import { printViolations } from "./printViolations.js";
import { wholeNumber } from "./wholeNumber.js";

interface Options {
  readonly runs: number;
  readonly seed: number;
  readonly harsh: boolean;
  readonly starved: boolean;
  readonly crashing: boolean;
  readonly evacuating: boolean;
  readonly reborn: boolean;
  readonly forgetting: boolean;
  readonly succession: boolean;
  readonly dropped: boolean;
  readonly returning: boolean;
  readonly silenced: boolean;
}

const options = new Command("check:jobs")
  .option("--runs <n>", "schedules to run", wholeNumber, 50)
  .option("--seed <s>", "seed of the first one", wholeNumber, 1)
  .option("--harsh", "jobs of all kinds and more faults", false)
  .option("--starved", "a leader short of time, and runs that fail", false)
  .option(
    "--crashing",
    "tasks that crash their workers, suspended leaders",
    false,
  )
  .option("--evacuating", "harsh, and zones that are evacuated", false)
  .option("--reborn", "harsh, and workers that start again at once", false)
  .option("--forgetting", "reborn, and sides that are started anew", false)
  .option("--succession", "leaders lost in a row, workers silent", false)
  .option("--dropped", "the same, and leaders the store drops untold", false)
  .option("--returning", "workers silent as their leaders are lost", false)
  .option("--silenced", "harsh, silent connections, late heartbeats", false)
  .parse()
  .opts<Options>();
const { runs, seed, harsh, starved, crashing, evacuating, reborn } = options;
const { forgetting, succession, dropped, returning, silenced } = options;

const pickSchedule = (): typeof runJobSchedule => {
  if (silenced && succession) return runSilentSuccessionSchedule;
  if (silenced) return runSilencedSchedule;
  if (returning) return runReturnSchedule;
  if (dropped) return runDroppedLeaderSchedule;
  if (succession) return (at) => runSuccessionSchedule(at);
  if (forgetting) return runForgettingSchedule;
  if (reborn) return runRebornSchedule;
  if (crashing) return runCrashingSchedule;
  if (evacuating) return runEvacuatingSchedule;
  if (starved) return runStarvedSchedule;
  return harsh ? runHarshSchedule : runJobSchedule;
};

const run = pickSchedule();
let broken = 0;
for (let at = seed; at < seed + runs; at += 1) {
  const violations = await run(at);
  if (violations.length > 0) broken += 1;
  printViolations(at, violations);
}
process.stdout.write(
  `${runs} schedules from seed ${seed}: ${broken} with a violation\n`,
);
