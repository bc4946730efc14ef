export {
  runFormerSchedule,
  runHarshSchedule,
  runJobSchedule,
  runStandstillSchedule,
} from "./jobSchedules.js";
export type { JobViolation } from "./RunHistory.js";
