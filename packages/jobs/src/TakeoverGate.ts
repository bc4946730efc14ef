/**
 * Holds starts back after a change of leader until no run of the former leader
 * can be hidden. Starts are not written down, so what runs is known only once
 * each host of the roster has reported to this leader, after which it obeys no
 * former one, or once every lease there is over: as its side tells, which alone
 * renews them, or at the latest as former leaders could grant them.
 */

import type { HostId, Monotonic } from "@rackspan/common";
import { latestLeaseExpiry } from "@rackspan/leadership";

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
  /** By host that was not heard: from then on nothing of a former leader runs there. */
  private readonly expiryByHost: Map<HostId, Monotonic>;
  /** The same for a host whose side tells nothing. */
  private readonly leasesExpireBy: Monotonic;
  /** From then on no former leader decides anything. */
  readonly authorityExpiresBy: Monotonic;
  /** Jobs that were first seen after this are new for certain. */
  private viewCurrentAt: Monotonic = Infinity;

  constructor(options: TakeoverGateOptions) {
    const { takenOverAt, roster, leadershipTtlMs, leaseMs } = options;
    this.authorityExpiresBy = takenOverAt + leadershipTtlMs;
    this.leasesExpireBy = latestLeaseExpiry(this.authorityExpiresBy, leaseMs);
    this.expiryByHost = new Map(
      [...roster].map((host) => [host, this.leasesExpireBy]),
    );
  }

  /** Nothing that a former leader started is hidden there, now or later. */
  recordReport(host: HostId): void {
    this.expiryByHost.delete(host);
  }

  /**
   * The side of a host that was not heard tells when the leases there are over. The
   * newest time that it told holds: a late start may bring a longer lease.
   * @returns by how much sooner that is than was known, milliseconds; negative when later
   */
  recordSilence(host: HostId, expiresBy: Monotonic): number {
    const known = this.expiryByHost.get(host);
    if (known === undefined) return 0;
    const expiry = Math.min(expiresBy, this.leasesExpireBy);
    this.expiryByHost.set(host, expiry);
    return known - expiry;
  }

  /**
   * What the side has told holds no more: its worker answers again and has ends left to
   * list, or another process of the side, which knows nothing of it, may serve the host.
   */
  clearSilence(host: HostId): void {
    if (this.expiryByHost.has(host))
      this.expiryByHost.set(host, this.leasesExpireBy);
  }

  /**
   * This leader has seen every job that the store kept when no former leader
   * decided any more. To be seen late is not to be new: a take-over that lasts
   * longer than the former term would take all jobs for new ones.
   */
  markViewCurrent(now: Monotonic): void {
    if (now < this.authorityExpiresBy) return;
    this.viewCurrentAt = Math.min(this.viewCurrentAt, now);
  }

  /**
   * Hosts that were never heard of and hold no lease any more. Each is named once.
   */
  takeExpired(now: Monotonic): HostId[] {
    const expired = [...this.expiryByHost].filter(
      ([, expiresBy]) => now >= expiresBy,
    );
    for (const [host] of expired) this.expiryByHost.delete(host);
    return expired.map(([host]) => host);
  }

  /** When the next host that was not heard holds no lease any more; Infinity without any. */
  get nextLeaseExpiry(): Monotonic {
    return Math.min(Infinity, ...this.expiryByHost.values());
  }

  /** Hosts that may yet hide a run of a former leader. */
  unreported(now: Monotonic): readonly HostId[] {
    return [...this.expiryByHost].flatMap(([host, expiresBy]) =>
      now < expiresBy ? [host] : [],
    );
  }

  isOpen(now: Monotonic): boolean {
    for (const expiresBy of this.expiryByHost.values())
      if (now < expiresBy) return false;
    return true;
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
