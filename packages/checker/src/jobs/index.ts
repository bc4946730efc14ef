export {
  addChance,
  runChanceSchedule,
  type ChanceOutcome,
} from "./chanceSchedules.js";
export {
  runDroppedLeaderSchedule,
  runFormerSchedule,
  runCrashingSchedule,
  runEvacuatingSchedule,
  runForgettingSchedule,
  runRebornSchedule,
  runReturnSchedule,
  runSilencedSchedule,
  runSilentSuccessionSchedule,
  runHarshSchedule,
  runJobSchedule,
  runLastingSchedule,
  runStarvedSchedule,
  runSuccessionSchedule,
} from "./jobSchedules.js";
export { GangBook } from "./GangBook.js";
export { RunHistory, type JobViolation, type RunSeen } from "./RunHistory.js";
export type { TaskTraits } from "./TaskTraits.js";
export { WorkerModel } from "./WorkerModel.js";
