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
  /**
   * From the end of a lease until what ran under it has begun elsewhere, with an order
   * or two that are refused before, milliseconds.
   */
  replacementDelayMs: 250,
} as const;

/** What bounds the lease of a worker whose side is gone; all in milliseconds. */
export interface UnattendedLeaseBounds {
  /** A shorter one would be lost whenever the side is started anew. */
  readonly minMs: number;
  /** Silence after which a host is out of touch; undefined where no bound is stated. */
  readonly outOfTouchMs: number | undefined;
  /** Time within which the tasks of a cancelled job are to be ordered to stop. */
  readonly cancelMs: number | undefined;
  /** Time that a worker may take to stop a task. */
  readonly stopMs: number | undefined;
  /** Longest time that a lasting task may be without a run; undefined when nobody says. */
  readonly lastingGapMs: number | undefined;
}

/**
 * How far ahead a side renews its worker's lease, whatever the leader has granted.
 * A worker whose side was removed for good runs what it has until its lease is over, also
 * what was cancelled since, and the tasks of a silent worker begin elsewhere only then. To
 * grant less instead would lose tasks whenever nobody leads for as long.
 *
 * @returns Infinity where nothing bounds it
 */
export const maxUnattendedLeaseMs = ({
  minMs: leastMs,
  outOfTouchMs,
  cancelMs,
  stopMs = 0,
  lastingGapMs,
}: UnattendedLeaseBounds): number => {
  const bounds: number[] = [];
  if (outOfTouchMs !== undefined && cancelMs !== undefined) {
    bounds.push(outOfTouchMs + cancelMs + stopMs);
  }
  if (lastingGapMs !== undefined) {
    bounds.push(lastingGapMs - LEASE.marginMs - LEASE.replacementDelayMs);
  }
  const overWithinMs = Math.min(Infinity, ...bounds);
  const leaseMs = Math.floor(overWithinMs / (1 + LEASE.workerClockDrift));
  return Math.max(leastMs, leaseMs);
};

/**
 * When a lease of `leaseMs`, counted from a clock reading that was received at
 * `receivedAt`, is over for certain, on the receiver's clock.
 */
export const latestLeaseExpiry = (
  receivedAt: Monotonic,
  leaseMs: number,
): Monotonic =>
  receivedAt + leaseMs * (1 + LEASE.workerClockDrift) + LEASE.marginMs;
