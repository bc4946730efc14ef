/** A site of real entry and side processes; store and workers are stand-ins. */

import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import {
  brand,
  processLoopbackAddress,
  SystemClock,
  type HostId,
} from "@rackspan/common";
import { freePort, StoreServer } from "@rackspan/platform-standins";
import { MemoryStore, ThrottledLink } from "@rackspan/standins";
import { ManagedProcess } from "./ManagedProcess.js";
import { derivedRandom } from "./derivedRandom.js";
import type { BundledPrograms } from "./BundledPrograms.js";
import type { RunRecorder } from "./RunRecorder.js";
import {
  BOUNDS,
  entrySettings,
  sideSettings,
  type StoreLimits,
} from "./settings.js";
import { SoakWorker } from "./SoakWorker.js";

export const QUEUE = {
  hostName: "calls.example",
  prefix: "/minutes/",
  service: "kaigi",
} as const;

/** Index of the first side's loopback address; entries are numbered from 1. */
const FIRST_SIDE_ADDRESS = 51;

/** Hosts are assigned to the zones in turn. */
export const ZONES = ["zone-a", "zone-b"] as const;

export type Zone = (typeof ZONES)[number];

const zoneOf = (host: number): Zone => ZONES[host % ZONES.length] as Zone;

const hostIdOf = (index: number): HostId => brand<HostId>(`host-${index + 1}`);

const queueOf = (prefix: string, maxAttempts: number): object => ({
  name: `queue-${prefix}`,
  host: QUEUE.hostName,
  path_prefix: prefix,
  service: QUEUE.service,
  priority: 1,
  max_attempts: maxAttempts,
  stretch: 2,
  target_latency_ms: 500,
});

const configOf = (maxAttempts: number, idleQueues: number): object => ({
  version: 1,
  routes: [
    queueOf(QUEUE.prefix, maxAttempts),
    ...Array.from({ length: idleQueues }, (_, at) =>
      queueOf(`/idle-${at}/`, maxAttempts),
    ),
  ],
  services: [{ name: QUEUE.service, rejects_overload: true }],
  limits: { max_body_bytes: 100_000 },
});

export interface SoakSiteOptions {
  readonly seed: number;
  readonly entries: number;
  readonly hosts: number;
  /** Number of failed runs of a task at which its job fails. */
  readonly maxAttempts: number;
  readonly programs: BundledPrograms;
  /** Folder for settings and logs of this run. */
  readonly folder: string;
  readonly recorder: RunRecorder;
  /** See SoakWorkerOptions. */
  readonly reusesId: boolean;
  /** Sizes that the store accepts; the product's defaults if absent. */
  readonly storeLimits?: StoreLimits | undefined;
  /** Rate of each entry's link to the store, bytes per 20 ms; not limited if absent. */
  readonly linkBytesPerInterval?: number | undefined;
  /** Number of queues in the configuration that no caller uses. */
  readonly idleQueues: number;
}

export class SoakSite {
  readonly entries: ManagedProcess[] = [];
  readonly sides: ManagedProcess[] = [];
  readonly workers: SoakWorker[] = [];
  private callersPort = 0;
  private sidesPort = 0;
  private storeAddress = "";
  /** Number of records that the operator has written. */
  private operatorAppends = 0;
  /** Number of evacuations in force, by zone. */
  private readonly evacuations = new Map<Zone, number>();
  private readonly store = new MemoryStore(new SystemClock());
  private readonly storeServer = new StoreServer(this.store);
  private readonly links: ThrottledLink[] = [];

  constructor(private readonly options: SoakSiteOptions) {
    if (options.storeLimits) this.store.limits = options.storeLimits;
    // The store accepts larger records from the operator than from rackspan.
    else this.store.acceptedLimits = { recordBytes: 2e6, callBytes: 2e6 };
  }

  async start(): Promise<void> {
    const { entries, hosts, folder } = this.options;
    mkdirSync(folder, { recursive: true });
    this.storeAddress = await this.storeServer.listen();
    this.callersPort = await freePort();
    this.sidesPort = await freePort();
    await this.publishConfig();
    for (let index = 0; index < entries; index += 1)
      await this.startEntry(index);
    for (let index = 0; index < hosts; index += 1) await this.startHost(index);
  }

  async stop(): Promise<void> {
    const all = [...this.sides, ...this.entries];
    await Promise.all(all.map((one) => one.stop("SIGKILL")));
    for (const worker of this.workers) await worker.close();
    for (const link of this.links) link.close();
    await this.storeServer.close();
  }

  private addressOfEntry(index: number): string {
    return processLoopbackAddress(1 + index);
  }

  /** Addresses of the entries for callers, `IP:PORT` each. */
  get callerAddresses(): readonly string[] {
    return this.entries.map(
      (_entry, index) => `${this.addressOfEntry(index)}:${this.callersPort}`,
    );
  }

  /** How often processes exited without being stopped. */
  get unexpectedExits(): number {
    const all = [...this.entries, ...this.sides];
    return all.reduce((sum, { unexpectedExits }) => sum + unexpectedExits, 0);
  }

  /** The entry that owns the leadership according to the store. */
  async leader(): Promise<ManagedProcess | undefined> {
    const owner = (await this.store.owner()) ?? "";
    return this.entries.find((_entry, index) =>
      owner.includes(`${this.addressOfEntry(index)}:`),
    );
  }

  /** Requests that no run start on the zone's hosts; calls nest, each ended by `reopen`. */
  async evacuate(zone: Zone): Promise<void> {
    this.evacuations.set(zone, (this.evacuations.get(zone) ?? 0) + 1);
    await this.writeAsOperator(`evacuate/${zone}`, {});
    for (const host of this.hostsOf(zone)) {
      this.options.recorder.history.recordEvacuation(host, performance.now());
    }
  }

  /** Ends one call of `evacuate`; the zone accepts runs again after the last one. */
  async reopen(zone: Zone): Promise<void> {
    const left = (this.evacuations.get(zone) ?? 0) - 1;
    this.evacuations.set(zone, left);
    if (left > 0) return;
    for (const host of this.hostsOf(zone)) {
      this.options.recorder.history.recordEvacuationEnd(host);
    }
    await this.writeAsOperator(`evacuate/${zone}`, undefined);
  }

  private hostsOf(zone: Zone): HostId[] {
    return this.workers.flatMap((_worker, index) =>
      zoneOf(index) === zone ? [hostIdOf(index)] : [],
    );
  }

  private publishConfig(): Promise<void> {
    const { maxAttempts, idleQueues } = this.options;
    return this.writeAsOperator("config", configOf(maxAttempts, idleQueues));
  }

  /** @param value new value of the key; undefined deletes it */
  private async writeAsOperator(
    key: string,
    value: object | undefined,
  ): Promise<void> {
    this.operatorAppends += 1;
    const bytes = value && Buffer.from(JSON.stringify(value));
    await this.store.append({
      topic: brand("keyed.op"),
      records: [{ key, value: bytes }],
      stamp: { producer: "operator", epoch: 1, sequence: this.operatorAppends },
      timeoutMs: 0,
    });
  }

  /** @returns the address at which an entry reaches the store */
  private async linkToStore(): Promise<string> {
    const { linkBytesPerInterval } = this.options;
    if (linkBytesPerInterval === undefined) return this.storeAddress;
    const link = new ThrottledLink(this.storeAddress, linkBytesPerInterval);
    this.links.push(link);
    return link.listen();
  }

  private async startEntry(index: number): Promise<void> {
    const name = `entry-${index + 1}`;
    const file = this.writeSettings(
      name,
      entrySettings({
        name,
        ip: this.addressOfEntry(index),
        callersPort: this.callersPort,
        sidesPort: this.sidesPort,
        store: await this.linkToStore(),
        limits: this.options.storeLimits,
      }),
    );
    const { entry } = this.options.programs;
    this.entries.push(this.startProcess(name, [entry, "entry"], file));
  }

  private async startHost(index: number): Promise<void> {
    const { seed, recorder, programs, reusesId } = this.options;
    const name = hostIdOf(index);
    const inbox = `${processLoopbackAddress(FIRST_SIDE_ADDRESS + index)}:${await freePort()}`;
    const worker = new SoakWorker({
      host: name,
      service: QUEUE.service,
      inbox,
      longestLeaseMs: BOUNDS.leaseMs,
      recorder,
      random: derivedRandom(seed, name),
      incarnationRandom: derivedRandom(seed, `${name}-lives`),
      reusesId,
    });
    const place = {
      host: name,
      zone: zoneOf(index),
      store: this.storeAddress,
      worker: await worker.listen(),
      inbox,
      entries: this.callerAddresses,
      entryPort: this.sidesPort,
    };
    let file = this.writeSettings(name, sideSettings(place, true));
    if (!programs.sideAccepts(file)) {
      file = this.writeSettings(name, sideSettings(place, false));
    }
    this.sides.push(this.startProcess(name, [programs.side, "run"], file));
    this.workers.push(worker);
    await worker.startIncarnation();
  }

  private writeSettings(name: string, settings: object): string {
    const file = join(this.options.folder, `${name}.json`);
    writeFileSync(file, JSON.stringify(settings, undefined, 2));
    return file;
  }

  private startProcess(
    name: string,
    command: readonly string[],
    file: string,
  ): ManagedProcess {
    const { folder } = this.options;
    const started = new ManagedProcess({
      args: [...command, "--config", file],
      logFile: join(folder, `${name}.log`),
    });
    started.start();
    return started;
  }
}
