/** Reports the result of a change, and returns the exit code for it. */

import type { OperationResult } from "@rackspan/entry";
import { EXIT_CODE, type ExitCode } from "./exitCodes.js";
import type { Output } from "./Output.js";

export const reportResult = (
  output: Output,
  what: string,
  result: OperationResult,
): ExitCode => {
  if (result.accepted) {
    output.line(`${what}: accepted`);
    return EXIT_CODE.OK;
  }
  output.error(`${what}: not accepted: ${result.reason}: ${result.detail}`);
  return EXIT_CODE.REFUSED;
};
