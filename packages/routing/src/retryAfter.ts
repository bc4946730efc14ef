/** When the caller of a refused job should return. */

import { MS_PER_SECOND } from "@rackspan/common";

export interface RetryAfterInputs {
  /** Until enough of the preceding work has been done, milliseconds. */
  readonly drainMs: number;
  /** Until the job is of no use even if it starts at once, milliseconds. */
  readonly usefulForMs: number;
}

/**
 * Whole seconds, because the header has no finer unit, as milliseconds. It is rounded
 * up, as there is no room before, but not beyond the last useful moment. At least one
 * second, because a refused job cannot be served at once.
 */
export const retryAfterMs = ({
  drainMs,
  usefulForMs,
}: RetryAfterInputs): number => {
  const drained = Math.ceil(drainMs / MS_PER_SECOND);
  const useful = Math.floor(usefulForMs / MS_PER_SECOND);
  return MS_PER_SECOND * Math.max(1, Math.min(drained, useful));
};
