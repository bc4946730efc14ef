/**
 * Bounds of the leases that rest on each other: leadership, and the lease that
 * a leader grants to a worker on the worker's own clock.
 */

import type { Monotonic } from "@rackspan/common";

export const LEASE = {
  /** A worker's clock may run this share slow, so its lease may last longer. */
  workerClockDrift: 0.02,
  /** Added to each bound for timers that fire late. */
  marginMs: 150,
} as const;

/** What bounds the lease that a leader grants; all in milliseconds. */
export interface GrantBounds {
  /** The longest that workers take. */
  readonly longestMs: number;
  /** A shorter one would be lost at each change of leader. */
  readonly leastMs: number;
  /** Silence after which a host is out of touch; undefined when nobody says. */
  readonly outOfTouchMs: number | undefined;
  /** Time within which the tasks of a cancelled job are to be ordered to stop. */
  readonly cancelMs: number | undefined;
  /** Time that a worker may take to stop a task. */
  readonly stopMs: number;
}

/**
 * The lease that a leader grants to workers. A worker that nobody reaches any
 * more, such as one whose side was removed for good, runs what it has until its
 * lease is over, also what was cancelled since: 20 such tasks ran on for up to
 * 10.2 s on a played day with the longest lease. Six paired days with 6 s for
 * 10 s earned 0.007 less (standard error 0.023); 3 s are lost when a leader dies.
 */
export const grantedLeaseMs = ({
  longestMs,
  leastMs,
  outOfTouchMs,
  cancelMs,
  stopMs,
}: GrantBounds): number => {
  if (outOfTouchMs === undefined || cancelMs === undefined) return longestMs;
  const goneWithinMs = outOfTouchMs + cancelMs + stopMs;
  const leaseMs = Math.floor(goneWithinMs / (1 + LEASE.workerClockDrift));
  return Math.min(longestMs, Math.max(leastMs, leaseMs));
};

/**
 * When a lease of `leaseMs`, counted from a clock reading that was received at
 * `receivedAt`, is over for certain, on the receiver's clock.
 */
export const leaseOverBy = (
  receivedAt: Monotonic,
  leaseMs: number,
): Monotonic =>
  receivedAt + leaseMs * (1 + LEASE.workerClockDrift) + LEASE.marginMs;
