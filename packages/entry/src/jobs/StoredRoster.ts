/** Keeps in the store which hosts may hold leases, so that a next leader waits for them. */

import { describeError, type HostId, type Logger } from "@rackspan/common";
import type { HostRoster } from "@rackspan/scheduling";
import type { StampedWriter } from "@rackspan/state";

const LISTED = Buffer.from("{}");

export class StoredRoster implements HostRoster {
  private readonly kept: Set<HostId>;
  /** How often each host was removed by this leader. */
  private readonly removals = new Map<HostId, number>();

  constructor(
    private readonly writer: StampedWriter,
    private readonly logger: Logger,
    hosts: Iterable<HostId>,
  ) {
    this.kept = new Set(hosts);
  }

  has(host: HostId): boolean {
    return this.kept.has(host);
  }

  async add(host: HostId): Promise<void> {
    const removals = this.removals.get(host);
    await this.writer.write({ key: host, value: LISTED }).kept;
    // Removed while it was on its way: the store ends without the host.
    if (this.removals.get(host) === removals) this.kept.add(host);
  }

  remove(host: HostId): void {
    this.kept.delete(host);
    this.removals.set(host, (this.removals.get(host) ?? 0) + 1);
    this.writer
      .write({ key: host, value: undefined })
      .kept.catch((err: unknown) => {
        // A host that stays listed only delays a next leader's first starts.
        const error = describeError(err);
        this.logger.warn("roster.not-removed", { host, error });
      });
  }
}
