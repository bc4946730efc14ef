import "./leastLoadedOfTwoPicker.js";
import "./randomPicker.js";
import "./roundRobinPicker.js";

export * from "./DeadlineQueue.js";
export * from "./EndpointPicker.js";
export * from "./OutlierEjector.js";
export * from "./RetryBudget.js";
export * from "./types.js";
