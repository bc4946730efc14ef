/** An engine harness that records its log lines. */

import { createLogger } from "@rackspan/common";
import { EngineHarness, type HarnessOptions } from "./engineHarness.js";

export const harnessWithLog = (
  options: HarnessOptions = {},
): {
  harness: EngineHarness;
  lines: string[];
} => {
  const lines: string[] = [];
  const logger = createLogger({
    level: "info",
    write: (line) => void lines.push(line),
  });
  return { harness: new EngineHarness({ ...options, logger }), lines };
};
