export * from "./LeaderElection.js";
export * from "./joinDelay.js";
export * from "./leaseBounds.js";
export * from "./memberName.js";
