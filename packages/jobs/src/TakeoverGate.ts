/**
 * Holds starts back after a change of leader until no run of the former leader
 * can be hidden. Starts are not written down, so what runs is known only once
 * each host of the roster has reported to this leader, after which it obeys no
 * former one, or once every lease that a former leader could grant is over.
 */

import type { HostId, Monotonic } from "@rackspan/common";
import { leaseOverBy } from "@rackspan/leadership";

export interface TakeoverGateOptions {
  readonly takenOverAt: Monotonic;
  /** Hosts to which a former leader may have granted leases. */
  readonly roster: Iterable<HostId>;
  /** A former leader decides nothing later than this after the take-over. */
  readonly leadershipTtlMs: number;
  /** The longest lease that it may have granted until then. */
  readonly leaseMs: number;
}

export class TakeoverGate {
  private readonly silent: Set<HostId>;
  /** From then on no former leader decides anything. */
  readonly authorityOverBy: Monotonic;
  /** From then on nothing that a former leader started runs on a silent host. */
  private readonly leasesOverBy: Monotonic;
  /** Jobs that were first seen after this are new for certain. */
  private viewCurrentAt: Monotonic = Infinity;

  constructor(options: TakeoverGateOptions) {
    const { takenOverAt, roster, leadershipTtlMs, leaseMs } = options;
    this.silent = new Set(roster);
    this.authorityOverBy = takenOverAt + leadershipTtlMs;
    this.leasesOverBy = leaseOverBy(this.authorityOverBy, leaseMs);
  }

  /** Nothing that a former leader started is hidden there, now or later. */
  noteHeard(host: HostId): void {
    this.silent.delete(host);
  }

  /**
   * This leader has seen every job that the store kept when no former leader
   * decided any more. To be seen late is not to be new: a take-over that lasts
   * longer than the former term would take all jobs for new ones.
   */
  noteViewCurrent(now: Monotonic): void {
    if (now < this.authorityOverBy) return;
    this.viewCurrentAt = Math.min(this.viewCurrentAt, now);
  }

  /**
   * Hosts that were never heard of and hold no lease any more. Each is named once.
   */
  takeExpired(now: Monotonic): HostId[] {
    if (now < this.leasesOverBy) return [];
    const expired = [...this.silent];
    this.silent.clear();
    return expired;
  }

  /** Hosts that may yet hide a run of a former leader. */
  unheard(now: Monotonic): readonly HostId[] {
    return now < this.leasesOverBy ? [...this.silent] : [];
  }

  isOpen(now: Monotonic): boolean {
    return this.silent.size === 0 || now >= this.leasesOverBy;
  }

  /**
   * Whether tasks of a job may be started that no host is known to run.
   * @param firstSeenAt when this leader first read the job from the store
   */
  mayStart(firstSeenAt: Monotonic, now: Monotonic): boolean {
    if (this.isOpen(now)) return true;
    return firstSeenAt > this.viewCurrentAt;
  }
}
