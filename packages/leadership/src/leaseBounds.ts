/**
 * Bounds of worker leases. A leader grants them for as long as its leadership allows,
 * and they expire by the worker's own clock.
 */

import type { Monotonic } from "@rackspan/common";

export const LEASE = {
  /** Share by which a worker's clock may run slow, so that its lease lasts longer. */
  workerClockDrift: 0.02,
  /** Added to each bound because timers may fire late. */
  marginMs: 150,
  /**
   * Time from the end of a lease until its task runs elsewhere, including one or two
   * orders that are refused first, milliseconds.
   */
  replacementDelayMs: 250,
} as const;

/** Bounds of the lease of a worker whose side is gone; all in milliseconds. */
export interface UnattendedLeaseBounds {
  /** Lower bound; a shorter lease would expire whenever the side restarts. */
  readonly minMs: number;
  /** Silence after which a host counts as out of touch; undefined if there is no bound. */
  readonly outOfTouchMs: number | undefined;
  /** Time within which the tasks of a cancelled job must be ordered to stop. */
  readonly cancelMs: number | undefined;
  /** Time that a worker may take to stop a task. */
  readonly stopMs: number | undefined;
  /** Longest time that a lasting task may be without a run; undefined if not configured. */
  readonly lastingGapMs: number | undefined;
}

/**
 * How far ahead a side renews its worker's lease at most, even if the leader has granted
 * more. A worker whose side was removed permanently runs its tasks until the lease
 * expires, including tasks that were cancelled since, and the tasks of a silent worker
 * start elsewhere only after that. The leader itself does not grant shorter leases,
 * because tasks would then be lost whenever there is no leader for that long.
 *
 * @returns milliseconds, Infinity if nothing bounds the lease
 */
export const maxUnattendedLeaseMs = ({
  minMs,
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
  const expiresWithinMs = Math.min(Infinity, ...bounds);
  const leaseMs = Math.floor(expiresWithinMs / (1 + LEASE.workerClockDrift));
  return Math.max(minMs, leaseMs);
};

/**
 * The latest time, on the receiver's clock, at which a lease expires. The lease lasts
 * `leaseMs` from a clock reading of the worker that was received at `receivedAt`.
 */
export const latestLeaseExpiry = (
  receivedAt: Monotonic,
  leaseMs: number,
): Monotonic =>
  receivedAt + leaseMs * (1 + LEASE.workerClockDrift) + LEASE.marginMs;
