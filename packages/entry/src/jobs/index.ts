export * from "./callerFronts.js";
export * from "./JobService.js";
export * from "./JobEntryProcess.js";
export * from "./settings.js";
export { Leadership, type ActiveTerm } from "./Leadership.js";
export { StoreReachability } from "./StoreReachability.js";
export { StoredRoster } from "./StoredRoster.js";
export { TermLog } from "./TermLog.js";
export { SideServer } from "./SideServer.js";
