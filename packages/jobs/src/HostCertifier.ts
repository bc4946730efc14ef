/**
 * Certifies on the log that hosts have ended. A host is certified only after the host
 * list has shown it as replaced or gone for the duration of the longest lease. A host
 * that merely does not report is never certified.
 */

import {
  describeError,
  type Clock,
  type HostGeneration,
  type HostId,
  type Logger,
  type Metrics,
} from "@rackspan/common";
import type { HostRecord } from "@rackspan/ports";
import type { Appender, Fold } from "@rackspan/state";
import { PresenceTracker } from "./PresenceTracker.js";
import type { Ownership } from "./types.js";

export interface HostCertifierOptions {
  readonly fold: Fold;
  readonly appender: Appender;
  readonly ownership: Ownership;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
  /** The longest lease that any worker grants, plus a margin for the drift of its clock. */
  readonly longestLeaseMs: number;
  readonly takeoverMs: number;
  readonly appendTimeoutMs: number;
}

export class HostCertifier {
  private readonly goneHosts: PresenceTracker<string>;
  private readonly inProgress = new Set<HostId>();

  constructor(private readonly options: HostCertifierOptions) {
    this.goneHosts = new PresenceTracker(options.clock);
  }

  /** @param listed the host list as just read */
  sweep(listed: readonly HostRecord[]): void {
    const generations = new Map(
      listed.map(({ host, generation }) => [host, generation]),
    );
    const gone = new Set<string>();
    for (const host of this.options.fold.units.claimingHosts()) {
      const ended = this.endedGeneration(host, generations.get(host));
      if (ended === undefined) continue;
      const name = `${host}@${ended}`;
      gone.add(name);
      if (this.goneHosts.observe(name) < this.waitMs(name)) continue;
      this.certify(host, ended);
    }
    this.goneHosts.retainOnly(gone);
  }

  private waitMs(name: string): number {
    const { longestLeaseMs, ownership, takeoverMs } = this.options;
    return longestLeaseMs + ownership.rank(name) * takeoverMs;
  }

  /** The highest claimed generation that is replaced or gone according to the list. */
  private endedGeneration(
    host: HostId,
    listed: HostGeneration | undefined,
  ): HostGeneration | undefined {
    let highest: HostGeneration | undefined;
    for (const { claim } of this.options.fold.units.claimedBy(host)) {
      if (!claim || (listed !== undefined && claim.generation >= listed))
        continue;
      if (highest === undefined || claim.generation > highest)
        highest = claim.generation;
    }
    return highest;
  }

  private certify(host: HostId, generation: HostGeneration): void {
    const { appender, logger, metrics, appendTimeoutMs } = this.options;
    if (this.inProgress.has(host)) return;
    this.inProgress.add(host);
    const record = {
      type: "hostEnded",
      host,
      generation,
      certifiedBy: "hostList",
    } as const;
    logger.warn("host.ended", { host, generation });
    metrics.count("hosts_certified_ended");
    appender
      .submit(record, appendTimeoutMs)
      .catch((err: unknown) =>
        logger.warn("host.certify-failed", { host, error: describeError(err) }),
      )
      .finally(() => this.inProgress.delete(host));
  }
}
