/**
 * Delays starts after a change of leader until no run of a previous leader can be unknown
 * to this one. A host of the roster is settled once it has either reported to this leader,
 * after which it rejects orders of previous leaders, or holds no valid lease any more. The
 * latter is known from the expiry that its side reports, as only the side renews leases, or
 * at the latest when the longest lease that previous leaders could grant has expired.
 *
 * If previous leaders recorded on which host a task may run, the task waits only for that
 * host. Otherwise it may run on any host, and waits until all of them are settled.
 */

import type { HostId, Monotonic } from "@rackspan/common";
import { latestLeaseExpiry } from "@rackspan/leadership";

export interface TakeoverGateOptions {
  readonly takenOverAt: Monotonic;
  /** Hosts to which a previous leader may have granted leases. */
  readonly roster: Iterable<HostId>;
  /** Time after the takeover by which no previous leader makes decisions any more. */
  readonly leadershipTtlMs: number;
  /** The longest lease that a previous leader may have granted until then. */
  readonly leaseMs: number;
}

/** What is recorded about the last start of a task. */
export interface KnownPlacement {
  /** Undefined if the task was never started, or its last run is known to be over. */
  readonly host: HostId | undefined;
}

const NO_HOSTS: readonly HostId[] = [];

export class TakeoverGate {
  /** For each unreported host, the time by which no run of a previous leader is left there. */
  private readonly expiryByHost: Map<HostId, Monotonic>;
  /** The same for hosts whose side reports no expiry. */
  private readonly leasesExpireBy: Monotonic;
  /** Time by which no previous leader makes decisions any more. */
  readonly authorityExpiresBy: Monotonic;
  /** Jobs that were first seen after this time are known to be new. */
  private viewCurrentAt: Monotonic = Infinity;

  constructor(options: TakeoverGateOptions) {
    const { takenOverAt, roster, leadershipTtlMs, leaseMs } = options;
    this.authorityExpiresBy = takenOverAt + leadershipTtlMs;
    this.leasesExpireBy = latestLeaseExpiry(this.authorityExpiresBy, leaseMs);
    this.expiryByHost = new Map(
      [...roster].map((host) => [host, this.leasesExpireBy]),
    );
  }

  /** Records that the host has reported: no run of a previous leader can be unknown there. */
  recordReport(host: HostId): void {
    this.expiryByHost.delete(host);
  }

  /**
   * Records when the leases of an unreported host expire, as reported by its side. The
   * latest report replaces earlier ones, because a late start may bring a longer lease.
   * @returns by how many milliseconds the leases expire sooner than recorded; negative if later
   */
  recordSilence(host: HostId, expiresBy: Monotonic): number {
    const known = this.expiryByHost.get(host);
    if (known === undefined) return 0;
    const expiry = Math.min(expiresBy, this.leasesExpireBy);
    this.expiryByHost.set(host, expiry);
    return known - expiry;
  }

  /**
   * Drops the expiry that the side has reported: its worker answers again and has ends
   * left to list, or another side process may serve the host without knowing it.
   */
  clearSilence(host: HostId): void {
    if (this.expiryByHost.has(host))
      this.expiryByHost.set(host, this.leasesExpireBy);
  }

  /**
   * Records that this leader has read every job that was stored when the authority of
   * previous leaders expired. Only jobs first seen after that are new. The expiry itself
   * is no such limit: if the takeover takes longer, all jobs would count as new.
   */
  markViewCurrent(now: Monotonic): void {
    if (now < this.authorityExpiresBy) return;
    this.viewCurrentAt = Math.min(this.viewCurrentAt, now);
  }

  /** Unreported hosts whose leases have expired; each host is returned only once. */
  takeExpired(now: Monotonic): HostId[] {
    const expired = [...this.expiryByHost].filter(
      ([, expiresBy]) => now >= expiresBy,
    );
    for (const [host] of expired) this.expiryByHost.delete(host);
    return expired.map(([host]) => host);
  }

  /** When the leases of the next unreported host expire; Infinity if there is none. */
  get nextLeaseExpiry(): Monotonic {
    return Math.min(Infinity, ...this.expiryByHost.values());
  }

  /** Unreported hosts that may still have a run of a previous leader. */
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
   * Whether a task that is not known to run on any host may be started.
   * @param firstSeenAt when this leader first read the job from the store
   * @param placement undefined if the task may run on any host
   */
  mayStart(
    firstSeenAt: Monotonic,
    now: Monotonic,
    placement?: KnownPlacement,
  ): boolean {
    if (placement) return !this.isUnsettled(placement.host, now);
    if (this.isOpen(now)) return true;
    return firstSeenAt > this.viewCurrentAt;
  }

  /** The hosts for which the task waits; empty if it may start. See `mayStart`. */
  awaitedHosts(
    firstSeenAt: Monotonic,
    now: Monotonic,
    placement?: KnownPlacement,
  ): readonly HostId[] {
    if (this.mayStart(firstSeenAt, now, placement)) return NO_HOSTS;
    return placement?.host === undefined
      ? this.unreported(now)
      : [placement.host];
  }

  private isUnsettled(host: HostId | undefined, now: Monotonic): boolean {
    const expiresBy = host && this.expiryByHost.get(host);
    return expiresBy !== undefined && now < expiresBy;
  }
}
