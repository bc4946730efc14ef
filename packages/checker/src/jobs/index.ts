export {
  runFormerSchedule,
  runHarshSchedule,
  runJobSchedule,
} from "./jobSchedules.js";
export { RunHistory, type JobViolation, type RunSeen } from "./RunHistory.js";
