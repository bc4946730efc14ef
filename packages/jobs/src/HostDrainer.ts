/**
 * Orders sides to drain their hosts. An order is sent whenever the log or the host list
 * marks a host as leaving and its side does not report that: a side process loses the
 * order when it restarts.
 */

import {
  describeError,
  type HostId,
  type Logger,
  type Metrics,
} from "@rackspan/common";
import type { HostRecord } from "@rackspan/ports";
import type { Fold } from "@rackspan/state";
import type { HostDirectory, HostView } from "./types.js";

export interface HostDrainerOptions {
  readonly fold: Fold;
  readonly hosts: HostDirectory;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

export class HostDrainer {
  private readonly inProgress = new Set<HostId>();

  constructor(private readonly options: HostDrainerOptions) {}

  /** @param listed the host list as last read */
  sweep(listed: readonly HostRecord[]): void {
    const leaving = new Set(
      listed.filter(({ state }) => state === "leaving").map(({ host }) => host),
    );
    for (const view of this.options.hosts.views()) {
      if (view.leaving || this.inProgress.has(view.host)) continue;
      if (leaving.has(view.host) || this.isDraining(view))
        this.drain(view.host);
    }
  }

  private isDraining({ host, generation }: HostView): boolean {
    return generation <= this.options.fold.units.drainingGeneration(host);
  }

  private drain(host: HostId): void {
    const { hosts, metrics, logger } = this.options;
    this.inProgress.add(host);
    metrics.count("hosts_drained");
    hosts
      .control(host)
      ?.drain()
      .catch((err: unknown) =>
        logger.warn("host.drain-failed", { host, error: describeError(err) }),
      )
      .finally(() => this.inProgress.delete(host));
  }
}
