export {
  runFormerSchedule,
  runHarshSchedule,
  runJobSchedule,
  runStarvedSchedule,
} from "./jobSchedules.js";
export type { JobViolation } from "./RunHistory.js";
