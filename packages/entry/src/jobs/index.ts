export * from "./callerFronts.js";
export * from "./JobService.js";
export * from "./JobEntryProcess.js";
export * from "./settings.js";
export * from "./forwarding/index.js";
export { Leadership, type ActiveTerm } from "./Leadership.js";
export { StoreReachability } from "./StoreReachability.js";
export { StoredRoster } from "./StoredRoster.js";
export { SideServer } from "./SideServer.js";
