export * from "./Lifecycle.js";
export * from "./Registry.js";
export * from "./settings.js";
