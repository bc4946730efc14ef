/** `npm run check:jobs -- --runs N --seed S`: runs random schedules of the job engine. */

import { Command } from "commander";
import {
  PLACEMENT_PLANS,
  runHarshSchedule,
  runMissingHostSchedule,
  runJobSchedule,
  runCrashingSchedule,
  runEvacuatingSchedule,
  runSideRestartSchedule,
  runWorkerRestartSchedule,
  runStarvedLeaderSchedule,
  runDroppedLeaderSchedule,
  runWorkerReturnSchedule,
  runSilentConnectionSchedule,
  runSilentSuccessionSchedule,
  runSuccessionSchedule,
  type PlacementPlan,
} from "@rackspan/checker";
import { printViolations } from "./printViolations.js";
import { parseInteger } from "./parseInteger.js";

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
  readonly missing: boolean;
}

const options = new Command("check:jobs")
  .option("--runs <n>", "schedules to run", parseInteger, 50)
  .option("--seed <s>", "seed of the first one", parseInteger, 1)
  .option("--harsh", "jobs of all kinds and more faults", false)
  .option(
    "--starved",
    "a leader that is short of time, and failing runs",
    false,
  )
  .option(
    "--crashing",
    "tasks that crash their workers, suspended leaders",
    false,
  )
  .option("--evacuating", "harsh, with zone evacuations", false)
  .option("--reborn", "harsh, with workers that restart at once", false)
  .option("--forgetting", "reborn, with side processes that restart", false)
  .option("--succession", "successive leaders lost, silent workers", false)
  .option(
    "--dropped",
    "succession, with leaders removed by the store without notice",
    false,
  )
  .option("--returning", "silent workers while leaders are lost", false)
  .option(
    "--silenced",
    "harsh, with silent connections and late heartbeats",
    false,
  )
  .option(
    "--missing",
    "harsh, with recorded placements and hosts missing at takeovers",
    false,
  )
  .parse()
  .opts<Options>();
const { runs, seed, harsh, starved, crashing, evacuating, reborn } = options;
const { forgetting, succession, dropped, returning, silenced } = options;

const PLANS = Object.keys(PLACEMENT_PLANS) as PlacementPlan[];

const pickSchedule = (): typeof runJobSchedule => {
  if (options.missing)
    return (at) => runMissingHostSchedule(at, PLANS[at % PLANS.length]);
  if (silenced && succession) return runSilentSuccessionSchedule;
  if (silenced) return runSilentConnectionSchedule;
  if (returning) return runWorkerReturnSchedule;
  if (dropped) return runDroppedLeaderSchedule;
  if (succession) return (at) => runSuccessionSchedule(at);
  if (forgetting) return runSideRestartSchedule;
  if (reborn) return runWorkerRestartSchedule;
  if (crashing) return runCrashingSchedule;
  if (evacuating) return runEvacuatingSchedule;
  if (starved) return runStarvedLeaderSchedule;
  return harsh ? runHarshSchedule : runJobSchedule;
};

const run = pickSchedule();
let failedSchedules = 0;
for (let at = seed; at < seed + runs; at += 1) {
  const violations = await run(at);
  if (violations.length > 0) failedSchedules += 1;
  printViolations(at, violations);
}
process.stdout.write(
  `${runs} schedules from seed ${seed}: ${failedSchedules} with a violation\n`,
);
