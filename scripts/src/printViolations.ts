/** Prints the violations of a schedule and sets the exit code to 1 if there are any. */

import type { JobViolation } from "@rackspan/checker";

export const printViolations = (
  seed: number,
  violations: readonly JobViolation[],
): void => {
  for (const { kind, at, detail } of violations) {
    process.exitCode = 1;
    const ms = Math.round(at);
    process.stdout.write(`seed ${seed}, ${ms} ms: ${kind} ${detail}\n`);
  }
};
