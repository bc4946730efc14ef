export * from "./Lifecycle.js";
export * from "./settings.js";
