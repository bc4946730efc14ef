/** All side processes in the host list; each is followed by its own task. */

import {
  Emitter,
  type Clock,
  type EntryId,
  type HostId,
  type Logger,
  type Metrics,
  type Random,
  type ServiceName,
} from "@rackspan/common";
import type { HostControl, HostDirectory, HostView } from "@rackspan/jobs";
import type { HostRecord } from "@rackspan/ports";
import { chooseSubset } from "@rackspan/routing";
import { SidePeer } from "./SidePeer.js";

export interface SideDirectoryOptions {
  readonly entry: EntryId;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly syncMs: number;
  /** Each entry uses all endpoints of a service that has up to this many. */
  readonly subsetLeast: number;
}

export class SideDirectory implements HostDirectory {
  /** Emits on each change of any side. */
  readonly changed = new Emitter<void>();
  private readonly peers = new Map<HostId, SidePeer>();
  /** Cached names; cleared when a host is added or removed. */
  private hostNames: readonly HostId[] | undefined;
  private entries: readonly HostId[] = [];
  /** Cached sides by service; cleared on each change. */
  private readonly byService = new Map<ServiceName, readonly SidePeer[]>();

  constructor(private readonly options: SideDirectoryOptions) {
    this.changed.on(() => this.byService.clear());
  }

  /** Updates the set of peers from the host list. */
  update(records: readonly HostRecord[]): void {
    const listed = new Map(
      records
        .filter(({ role }) => role === "endpoint")
        .map((record) => [record.host, record]),
    );
    for (const [host, peer] of this.peers) {
      const record = listed.get(host);
      if (record && isSame(record, peer.record)) continue;
      peer.close();
      this.peers.delete(host);
      this.hostNames = undefined;
      this.changed.emit();
    }
    for (const record of listed.values()) {
      if (!this.peers.has(record.host)) this.add(record);
    }
  }

  get(host: HostId): SidePeer | undefined {
    return this.peers.get(host);
  }

  all(): readonly SidePeer[] {
    return [...this.peers.values()];
  }

  /** Sides to which new requests of the service may be sent. */
  serving(service: ServiceName): readonly SidePeer[] {
    let peers = this.byService.get(service);
    if (!peers) {
      peers = this.subset(this.all().filter((peer) => peer.serves(service)));
      this.byService.set(service, peers);
    }
    return peers;
  }

  /** Sets the live entries; they determine which subset of a large service this entry uses. */
  setEntries(entries: readonly HostId[]): void {
    const names = [...entries].sort();
    if (names.join() === this.entries.join()) return;
    this.entries = names;
    this.byService.clear();
  }

  private subset(peers: readonly SidePeer[]): readonly SidePeer[] {
    const { entry, subsetLeast } = this.options;
    return chooseSubset({
      members: peers,
      nameOf: (peer) => peer.record.host,
      entryIndex: Math.max(0, this.entries.indexOf(entry as string as HostId)),
      entryCount: this.entries.length,
      minSize: subsetLeast,
    });
  }

  views(): readonly HostView[] {
    return this.all().flatMap(({ view }) => (view ? [view] : []));
  }

  names(): readonly HostId[] {
    this.hostNames ??= [...this.peers.keys()];
    return this.hostNames;
  }

  view(host: HostId): HostView | undefined {
    return this.peers.get(host)?.view;
  }

  control(host: HostId): HostControl | undefined {
    return this.peers.get(host);
  }

  close(): void {
    for (const peer of this.peers.values()) peer.close();
    this.peers.clear();
  }

  private add(record: HostRecord): void {
    const peer = new SidePeer({ ...this.options, record });
    this.peers.set(record.host, peer);
    this.hostNames = undefined;
    peer.changed.on(() => this.changed.emit());
    void peer.run();
  }
}

const isSame = (a: HostRecord, b: HostRecord): boolean =>
  a.address === b.address && a.generation === b.generation;
