export { killAllProcesses } from "./ManagedProcess.js";
export { playSoak, type SoakOptions, type SoakResult } from "./playSoak.js";
export { Programs, ProgramsMissingError } from "./Programs.js";
