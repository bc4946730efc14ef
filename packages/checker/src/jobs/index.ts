export {
  runFormerSchedule,
  runHarshSchedule,
  runJobSchedule,
  runStarvedSchedule,
} from "./jobSchedules.js";
export { RunHistory, type JobViolation, type RunSeen } from "./RunHistory.js";
