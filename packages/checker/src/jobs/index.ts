export {
  runFormerSchedule,
  runHarshSchedule,
  runJobSchedule,
} from "./jobSchedules.js";
export type { JobViolation } from "./RunHistory.js";
