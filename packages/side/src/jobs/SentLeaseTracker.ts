/**
 * Tracks an upper bound for the time until which the worker on this host may run anything,
 * derived from the leases that were sent to it. Only its side sends leases, so the bound
 * holds for every leader. Calls without an answer count as well, since a worker may carry
 * them out later; their leases still end at a fixed time on the worker's clock.
 */

import type {
  Clock,
  Monotonic,
  WorkerInstance,
  WorkerTime,
} from "@rackspan/common";
import { latestLeaseExpiry } from "@rackspan/leadership";

/** The newest reading of an incarnation's clock. */
interface ClockReading {
  readonly instance: WorkerInstance;
  readonly at: WorkerTime;
  /** On the side's clock. */
  readonly receivedAt: Monotonic;
}

export interface SentLeaseTrackerOptions {
  readonly clock: Clock;
  /** Longest lease that the worker accepts, milliseconds; Infinity when it is unknown. */
  readonly longestLeaseMs: number;
}

export class SentLeaseTracker {
  /** Infinity (unknown) until `start`. */
  private latestExpiry: Monotonic = Infinity;
  private reading: ClockReading | undefined;

  constructor(private readonly options: SentLeaseTrackerOptions) {}

  /** A previous process of this side may have sent a lease until now, but not later. */
  start(): void {
    this.latestExpiry = this.longestFromNow();
  }

  /** Records the clock reading in an answer of that incarnation. */
  recordClockReading(instance: WorkerInstance, at: WorkerTime): void {
    const receivedAt = this.options.clock.monotonic();
    this.reading = { instance, at, receivedAt };
  }

  /** Records that a call with this lease is about to be sent to that incarnation. */
  recordSent(instance: WorkerInstance, leaseUntil: WorkerTime): void {
    const { reading } = this;
    if (reading?.instance !== instance) {
      this.assumeLongest();
      return;
    }
    const leaseMs = Math.max(0, leaseUntil - reading.at);
    this.extend(latestLeaseExpiry(reading.receivedAt, leaseMs));
  }

  /** Assumes the longest lease from now: one with an unknown end was sent, by this process or another. */
  assumeLongest(): void {
    this.extend(this.longestFromNow());
  }

  /** Milliseconds until every lease is guaranteed to be over; undefined when that is unknown. */
  get overInMs(): number | undefined {
    const leftMs = this.latestExpiry - this.options.clock.monotonic();
    return Number.isFinite(leftMs) ? Math.max(0, Math.ceil(leftMs)) : undefined;
  }

  private longestFromNow(): Monotonic {
    const { clock, longestLeaseMs } = this.options;
    return latestLeaseExpiry(clock.monotonic(), longestLeaseMs);
  }

  private extend(latestExpiry: Monotonic): void {
    this.latestExpiry = Math.max(this.latestExpiry, latestExpiry);
  }
}
