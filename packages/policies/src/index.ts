export * from "./compilePolicy.js";
export * from "./policyPoints.js";
export * from "./PolicyEvaluator.js";
