export * from "./LeaderElection.js";
export * from "./leaseBounds.js";
export * from "./memberName.js";
