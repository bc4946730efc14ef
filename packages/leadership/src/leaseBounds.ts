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

/**
 * When a lease of `leaseMs`, counted from a clock reading that was received at
 * `receivedAt`, is over for certain, on the receiver's clock.
 */
export const leaseOverBy = (
  receivedAt: Monotonic,
  leaseMs: number,
): Monotonic =>
  receivedAt + leaseMs * (1 + LEASE.workerClockDrift) + LEASE.marginMs;
