export {
  addChance,
  runChanceSchedule,
  type ChanceOutcome,
} from "./chanceSchedules.js";
export {
  runFormerSchedule,
  runCrashingSchedule,
  runEvacuatingSchedule,
  runRebornSchedule,
  runHarshSchedule,
  runJobSchedule,
  runStarvedSchedule,
  runSuccessionSchedule,
} from "./jobSchedules.js";
export { GangBook } from "./GangBook.js";
export { RunHistory, type JobViolation, type RunSeen } from "./RunHistory.js";
export { WorkerModel, type TaskTraits } from "./WorkerModel.js";
