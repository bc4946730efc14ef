export {
  addChanceOutcomes,
  runChanceSchedule,
  type ChanceOutcome,
} from "./chanceSchedules.js";
export {
  runDroppedLeaderSchedule,
  runPreviousLinkSchedule,
  runCrashingSchedule,
  runEvacuatingSchedule,
  runSideRestartSchedule,
  runWorkerRestartSchedule,
  runWorkerReturnSchedule,
  runSilentConnectionSchedule,
  runSilentSuccessionSchedule,
  runHarshSchedule,
  runJobSchedule,
  runLastingSchedule,
  runMissingHostSchedule,
  runStarvedLeaderSchedule,
  runSuccessionSchedule,
} from "./jobSchedules.js";
export { PLACEMENT_PLANS, type PlacementPlan } from "./jobSchedules.js";
export { PLACEMENT_MUTANTS, type PlacementMutant } from "./LeaderModel.js";
export { GangRunTracker } from "./GangRunTracker.js";
export {
  RunHistory,
  type JobViolation,
  type ObservedRun,
} from "./RunHistory.js";
export {
  measureTakeover,
  type TakeoverCause,
  type TakeoverFigures,
  type TakeoverScenario,
} from "./takeoverFigures.js";
export type { TaskTraits } from "./TaskTraits.js";
export { WorkerModel } from "./WorkerModel.js";
