export { killAllProcesses } from "./ManagedProcess.js";
export {
  runSoak as playSoak,
  type SoakOptions,
  type SoakResult,
} from "./runSoak.js";
export {
  BundledPrograms as Programs,
  ProgramsMissingError,
} from "./BundledPrograms.js";
export { drawFaults, type Fault, type FaultKind } from "./faults.js";
export { derivedRandom as mixedRandom } from "./derivedRandom.js";
