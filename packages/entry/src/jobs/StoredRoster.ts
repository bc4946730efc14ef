/**
 * Persists which workers may hold leases, so that the next leader waits until those
 * leases have expired.
 */

import {
  describeError,
  type HostId,
  type Logger,
  type WorkerInstance,
} from "@rackspan/common";
import type { HostRoster } from "@rackspan/scheduling";
import { encodeHost, type Roster, type TopicWriter } from "@rackspan/state";

export class StoredRoster implements HostRoster {
  private readonly persisted: Map<HostId, WorkerInstance | undefined>;
  /** The last value that this leader wrote for a host; undefined for a removal. */
  private readonly lastWritten = new Map<HostId, WorkerInstance | undefined>();
  /** By host: whether its last removal has been persisted. */
  private readonly removals = new Map<HostId, Promise<boolean>>();

  constructor(
    private readonly writer: TopicWriter,
    private readonly logger: Logger,
    roster: Roster,
    /** Whether this leader records placements; see encodeHost. */
    private readonly hasPlacements = false,
  ) {
    this.persisted = new Map(roster);
  }

  recordedInstance(host: HostId): WorkerInstance | undefined {
    return this.persisted.get(host);
  }

  async persist(host: HostId, instance: WorkerInstance): Promise<void> {
    this.lastWritten.set(host, instance);
    this.removals.delete(host);
    const value = encodeHost(instance, this.hasPlacements);
    await this.writer.write({ key: host, value }).persisted;
    // If the host was removed or replaced during the write, the later write wins.
    if (this.lastWritten.get(host) === instance)
      this.persisted.set(host, instance);
  }

  /**
   * Rewrites the records of previous leaders, to show that all starts on these hosts are
   * recorded by now.
   */
  async recordPlacements(): Promise<void> {
    const ofPrevious = [...this.persisted].filter(
      ([host]) => !this.lastWritten.has(host),
    );
    await Promise.all(
      ofPrevious.map(([host, instance]) => {
        const value = encodeHost(instance, this.hasPlacements);
        return this.writer.write({ key: host, value }).persisted;
      }),
    );
  }

  remove(host: HostId): void {
    this.persisted.delete(host);
    this.lastWritten.set(host, undefined);
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
      // A host that stays listed only delays the first starts of the next leader.
      const error = describeError(err);
      this.logger.warn("roster.not-removed", { host, error });
      return false;
    }
  }
}
