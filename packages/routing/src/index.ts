import "./leastLoadedOfTwoPicker.js";
import "./pooledPicker.js";
import "./randomPicker.js";
import "./roundRobinPicker.js";

export * from "./chooseSubset.js";
export * from "./DeadlineQueue.js";
export * from "./EndpointPicker.js";
export * from "./OutlierEjector.js";
export * from "./pooledPicker.js";
export * from "./RetryBudget.js";
export * from "./types.js";
