/**
 * Until when the worker on this host may at most run anything, by the leases that were
 * sent to it. Only its side sends them, so this holds whoever leads. Calls without an
 * answer count as well, since a worker may carry them out later; their leases end at a
 * time of its own clock all the same.
 */

import type {
  Clock,
  Monotonic,
  WorkerInstance,
  WorkerTime,
} from "@rackspan/common";
import { latestLeaseExpiry } from "@rackspan/leadership";

/** The newest reading of a life's clock. */
interface ClockReading {
  readonly instance: WorkerInstance;
  readonly at: WorkerTime;
  /** On the side's clock. */
  readonly receivedAt: Monotonic;
}

export interface SentLeaseTrackerOptions {
  readonly clock: Clock;
  /** Longest lease that the worker takes, milliseconds; Infinity when nobody says. */
  readonly longestLeaseMs: number;
}

export class SentLeaseTracker {
  /** Unknown until this process begins. */
  private overBy: Monotonic = Infinity;
  private reading: ClockReading | undefined;

  constructor(private readonly options: SentLeaseTrackerOptions) {}

  /** A process before this one may have sent a lease until now, and none later. */
  start(): void {
    this.overBy = this.longestFromNow();
  }

  /** That life has answered with this reading of its clock. */
  recordClockReading(instance: WorkerInstance, at: WorkerTime): void {
    const receivedAt = this.options.clock.monotonic();
    this.reading = { instance, at, receivedAt };
  }

  /** A call that carries this lease is about to be sent to that life. */
  recordSent(instance: WorkerInstance, leaseUntil: WorkerTime): void {
    const { reading } = this;
    if (reading?.instance !== instance) {
      this.assumeLongest();
      return;
    }
    const leaseMs = Math.max(0, leaseUntil - reading.at);
    this.raise(latestLeaseExpiry(reading.receivedAt, leaseMs));
  }

  /** A lease was sent, here or by another, of which this process cannot tell the end. */
  assumeLongest(): void {
    this.raise(this.longestFromNow());
  }

  /** Milliseconds until every lease is over for certain; undefined when nobody can tell. */
  get overInMs(): number | undefined {
    const leftMs = this.overBy - this.options.clock.monotonic();
    return Number.isFinite(leftMs) ? Math.max(0, Math.ceil(leftMs)) : undefined;
  }

  private longestFromNow(): Monotonic {
    const { clock, longestLeaseMs } = this.options;
    return latestLeaseExpiry(clock.monotonic(), longestLeaseMs);
  }

  private raise(overBy: Monotonic): void {
    this.overBy = Math.max(this.overBy, overBy);
  }
}
