/** The programs that the stand-in worker can run, by name. */

import type { Program } from "./programTypes.js";
import { batchProgram } from "./batchProgram.js";
import { endpointProgram } from "./endpointProgram.js";
import { standingProgram } from "./standingProgram.js";

export const PROGRAMS: Readonly<Record<string, Program>> = {
  batch: batchProgram,
  endpoint: endpointProgram,
  standing: standingProgram,
};
