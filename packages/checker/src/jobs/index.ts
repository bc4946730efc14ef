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
  runStarvedLeaderSchedule,
  runSuccessionSchedule,
} from "./jobSchedules.js";
export { GangRunTracker } from "./GangRunTracker.js";
export {
  RunHistory,
  type JobViolation,
  type ObservedRun,
} from "./RunHistory.js";
export type { TaskTraits } from "./TaskTraits.js";
export { WorkerModel } from "./WorkerModel.js";
