/**
 * How long a write that the store refuses is retried while the caller waits. A caller that
 * is refused at once returns after a second, at most three times before its deadline, and
 * most store outages end in between. Retrying here persists the job as soon as the store
 * accepts writes again.
 */

import type { Monotonic } from "@rackspan/common";

export const STORE_RETRY = {
  /**
   * Share of the caller's time that is spent on retries. The rest is left for other
   * entries, because the store may refuse only this one.
   */
  callerTimeShare: 1 / 3,
  /**
   * Share of the caller's time after which a record that was not sent yet is given up.
   * The rest is enough for another entry, and a store that is only slow takes queued
   * records in this time.
   */
  unsentTimeShare: 2 / 3,
  /** Delay between two attempts, milliseconds; a recovered store is detected within it. */
  retryMs: 100,
  /**
   * Retry delay of a caller whose job could not be persisted: it may try another entry
   * at once. A longer delay might end after the caller has given up.
   */
  retryAfterMs: 0,
} as const;

/**
 * When retries end.
 *
 * @param arrivedAt when the request arrived
 * @param deadline when the caller stops waiting for the response
 */
export const retryDeadline = (
  arrivedAt: Monotonic,
  deadline: Monotonic,
): Monotonic =>
  arrivedAt + STORE_RETRY.callerTimeShare * (deadline - arrivedAt);

/** When a record that was not sent yet is given up; see retryDeadline. */
export const unsentDeadline = (
  arrivedAt: Monotonic,
  deadline: Monotonic,
): Monotonic =>
  arrivedAt + STORE_RETRY.unsentTimeShare * (deadline - arrivedAt);
