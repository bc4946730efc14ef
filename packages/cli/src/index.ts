export * from "./diffDeclarations.js";
export * from "./exitCodes.js";
export { stopSignal } from "./handleFailure.js";
export * from "./jobPrograms.js";
export * from "./Output.js";
export * from "./readDeclarations.js";
export * from "./runProgram.js";
export * from "./runRackspan.js";
export * from "./runSide.js";
