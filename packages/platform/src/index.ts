export * from "./hostList.js";
export * from "./HttpHostList.js";
export * from "./HttpLogService.js";
export * from "./HttpWorker.js";
export * from "./logService.js";
export * from "./platformClients.js";
export * from "./worker.js";
