import "./leastLoadedOfTwoPicker.js";
import "./pooledPicker.js";
import "./randomPicker.js";
import "./roundRobinPicker.js";

export * from "./AdmissionController.js";
export * from "./chooseSubset.js";
export * from "./decideAdmission.js";
export * from "./DeadlineQueue.js";
export * from "./EndpointPicker.js";
export * from "./jobEstimate.js";
export * from "./jobUtility.js";
export * from "./OutlierEjector.js";
export * from "./pooledPicker.js";
export * from "./RetryBudget.js";
export * from "./retryAfter.js";
export * from "./ReturnQueue.js";
export * from "./types.js";
