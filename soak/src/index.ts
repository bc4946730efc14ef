export { killAllProcesses } from "./ManagedProcess.js";
export { runSoak, type SoakOptions, type SoakResult } from "./runSoak.js";
export { BundledPrograms, ProgramsMissingError } from "./BundledPrograms.js";
export { drawFaults, type Fault, type FaultKind } from "./faults.js";
export { derivedRandom } from "./derivedRandom.js";
export { DEPLOYED } from "./settings.js";
