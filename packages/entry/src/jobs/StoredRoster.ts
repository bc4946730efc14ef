/** Keeps in the store which workers may hold leases, so that a next leader waits for them. */

import {
  describeError,
  type HostId,
  type Logger,
  type WorkerInstance,
} from "@rackspan/common";
import type { HostRoster } from "@rackspan/scheduling";
import { encodeHost, type Roster, type TopicWriter } from "@rackspan/state";

export class StoredRoster implements HostRoster {
  private readonly kept: Map<HostId, WorkerInstance | undefined>;
  /** What this leader wrote last of a host; undefined once it removed it. */
  private readonly written = new Map<HostId, WorkerInstance | undefined>();
  /** By host: whether the store keeps its last removal. */
  private readonly removals = new Map<HostId, Promise<boolean>>();

  constructor(
    private readonly writer: TopicWriter,
    private readonly logger: Logger,
    roster: Roster,
  ) {
    this.kept = new Map(roster);
  }

  recordedInstance(host: HostId): WorkerInstance | undefined {
    return this.kept.get(host);
  }

  async persist(host: HostId, instance: WorkerInstance): Promise<void> {
    this.written.set(host, instance);
    this.removals.delete(host);
    await this.writer.write({ key: host, value: encodeHost(instance) })
      .persisted;
    // Removed or replaced while it was on its way: the store ends with that.
    if (this.written.get(host) === instance) this.kept.set(host, instance);
  }

  remove(host: HostId): void {
    this.kept.delete(host);
    this.written.set(host, undefined);
    this.removals.set(host, this.writeRemoval(host));
  }

  async removalPersisted(host: HostId): Promise<boolean> {
    return (await this.removals.get(host)) ?? true;
  }

  private async writeRemoval(host: HostId): Promise<boolean> {
    try {
      await this.writer.write({ key: host, value: undefined }).persisted;
      return true;
    } catch (err) {
      // A host that stays listed only delays a next leader's first starts.
      const error = describeError(err);
      this.logger.warn("roster.not-removed", { host, error });
      return false;
    }
  }
}
