export * from "./AdmissionGate.js";
export * from "./Commitments.js";
export * from "./errors.js";
export * from "./RequestFences.js";
export * from "./settings.js";
export * from "./SideProcess.js";
export * from "./TaskHolder.js";
export * from "./taskIdentity.js";
