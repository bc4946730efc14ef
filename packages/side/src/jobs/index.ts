export * from "./JobSideProcess.js";
export * from "./settings.js";
export * from "./workerInboxes.js";
export * from "./WorkerRegistry.js";
export { LeaderFinder } from "./LeaderFinder.js";
export { LeaderLink } from "./LeaderLink.js";
export { Pacer, PACING } from "./Pacer.js";
export { TaskOrders } from "./TaskOrders.js";
export { WorkerWatch } from "./WorkerWatch.js";
