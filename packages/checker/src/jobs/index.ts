export {
  runFormerSchedule,
  runHarshSchedule,
  runJobSchedule,
} from "./jobSchedules.js";
export { GangBook } from "./GangBook.js";
export { RunHistory, type JobViolation } from "./RunHistory.js";
export { WorkerModel, type TaskTraits } from "./WorkerModel.js";
