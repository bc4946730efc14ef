export * from "./EndpointStandin.js";
export * from "./FaultSwitches.js";
export * from "./HostListStandin.js";
export * from "./JsonServer.js";
export * from "./LogStandin.js";
export * from "./RequestLedger.js";
export * from "./TaskLedger.js";
export * from "./WorkerStandin.js";
