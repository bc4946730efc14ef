import "./baselineTaskPlacers.js";
import "./bestFitPlacer.js";
import "./byAgeOrder.js";
import "./bySlackOrder.js";
import "./byUtilityOrder.js";
import "./colocatingTaskPlacer.js";
import "./firstFitPlacer.js";
import "./leastLoadedPlacer.js";
import "./spreadPlacer.js";

export { RuntimeEstimator } from "./RuntimeEstimator.js";
export { ENGINE, type EngineOptions, type HostRoster } from "./engineTypes.js";
export type { StopTaskCall } from "@rackspan/protocol";
export type { HostSession } from "./HostSession.js";
export { JobEngine } from "./JobEngine.js";
export { DEFAULT_POLICY, type SchedulingPolicy } from "./policy.js";
export { placers, type PlacerOptions } from "./placers.js";
export { stepOrders, type Candidate, type StepOrder } from "./stepOrders.js";
export { taskPlacers, type TaskPlacer } from "./taskPlacers.js";
