export * from "./checkHistory.js";
export * from "./history.js";
export * from "./mutants.js";
export * from "./schedules.js";
export * from "./jobs/index.js";
