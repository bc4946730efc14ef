export { killAllProcesses } from "./ManagedProcess.js";
export { playSoak, type SoakOptions, type SoakResult } from "./playSoak.js";
export { Programs, ProgramsMissingError } from "./Programs.js";
export { drawFaults, type Fault, type FaultKind } from "./faults.js";
export { mixedRandom } from "./mixedRandom.js";
