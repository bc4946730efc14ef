/** Reports the result of a change, and returns the exit code for it. */

import type { OperatorVerdict } from "@rackspan/entry";
import { EXIT_CODE, type ExitCode } from "./exitCodes.js";
import type { Output } from "./Output.js";

export const reportVerdict = (
  output: Output,
  what: string,
  verdict: OperatorVerdict,
): ExitCode => {
  if (verdict.accepted) {
    output.line(`${what}: accepted`);
    return EXIT_CODE.OK;
  }
  output.error(`${what}: not accepted: ${verdict.reason}: ${verdict.detail}`);
  return EXIT_CODE.REFUSED;
};
