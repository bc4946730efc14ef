/**
 * How long a job that the store refuses is held for its caller. A caller that is refused
 * at once comes back a second later, three times at most within its time, and most
 * outages of the store end in between: a held job is kept as soon as the store takes it.
 */

import type { Monotonic } from "@rackspan/common";

export const STORE_RETRY = {
  /**
   * Share of the caller's time for which its job is held. The store may refuse this
   * entry alone, so time is left for other entries.
   */
  callerTimeShare: 1 / 3,
  /** Between two tries, milliseconds: a store that comes back is noticed within this. */
  retryMs: 100,
  /** The caller has waited here; another entry may be served by the store now. */
  retryAfterMs: 0,
} as const;

/**
 * @param cameAt when the caller came
 * @param deadline when it stops waiting for this answer
 */
export const retryDeadline = (
  cameAt: Monotonic,
  deadline: Monotonic,
): Monotonic => cameAt + STORE_RETRY.callerTimeShare * (deadline - cameAt);
