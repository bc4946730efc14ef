export * from "./callerFronts.js";
export * from "./JobDesk.js";
export * from "./JobEntryProcess.js";
export * from "./settings.js";
export { Leadership, type LeadingEngine } from "./Leadership.js";
export { StoreReach } from "./StoreReach.js";
export { StoredRoster } from "./StoredRoster.js";
export { SideServer } from "./SideServer.js";
