export * from "./AttemptLoop.js";
export * from "./EndpointState.js";
export * from "./EntryProcess.js";
export * from "./KeyedRequests.js";
export * from "./operatorHandlers.js";
export * from "./operatorMethods.js";
export * from "./RouteTable.js";
export * from "./settings.js";
