export * from "./compilePolicy.js";
export * from "./points.js";
export * from "./PolicyBook.js";
