/** A standing worker: runs until killed. With the argument `failAfterMs` it fails once, after that time. */

import { numberArg, type Program } from "./programTypes.js";

const hasFailedBefore = (
  entries: readonly { readonly unit: string; readonly end?: string }[],
  unit: string,
): boolean =>
  entries.some((entry) => entry.unit === unit && entry.end === "failed");

export const standingProgram: Program = async ({
  args,
  unit,
  tasks,
  onEnd,
}) => {
  const failAfterMs = numberArg(args, "failAfterMs", 0);
  const fails = failAfterMs > 0 && !hasFailedBefore(tasks.entries, unit);
  const timer = fails
    ? setTimeout(
        () => onEnd("failed", "as configured by failAfterMs"),
        failAfterMs,
      )
    : undefined;
  return {
    kill: () => clearTimeout(timer),
    checkpoint: () => undefined,
  };
};
