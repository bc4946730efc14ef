/**
 * A whole site in this process: the real code of the entry and side processes over
 * loopback, on a stand-in platform. Used by the demo, benchmarks and tests.
 */

import {
  hostId,
  silentLogger,
  type HostId,
  type Logger,
} from "@rackspan/common";
import { EntryProcess, entrySettingsSchema } from "@rackspan/entry";
import { SideProcess, sideSettingsSchema } from "@rackspan/side";
import { OperatorSession } from "./OperatorSession.js";
import type { SiteDescription } from "./siteFile.js";
import { StandinPlatform, type WorkerDescription } from "./StandinPlatform.js";
import { waitUntil } from "./waitUntil.js";

type Overrides = Readonly<Record<string, unknown>>;

export interface SiteOptions {
  readonly description: SiteDescription;
  readonly logger?: Logger;
  /** Settings that override the defaults, by group. */
  readonly entrySettings?: Overrides;
  readonly sideSettings?: Overrides;
}

/** Short enough for planned stops to complete within tests and the demo. */
const SHORT_DRAIN = { noticeMs: 300, limitMs: 3_000 };
const ANY_PORT = { address: "127.0.0.1", port: 0 };
const DEVELOPMENT = { mode: "development" };

export class Site {
  readonly platform: StandinPlatform;
  readonly entries = new Map<HostId, EntryProcess>();
  readonly sides = new Map<HostId, SideProcess>();
  private readonly logger: Logger;

  constructor(private readonly options: SiteOptions) {
    this.platform = new StandinPlatform(options.description);
    this.logger = options.logger ?? silentLogger;
  }

  /** Starts all processes and waits until they are ready. */
  async start(): Promise<void> {
    await this.platform.start();
    for (const place of this.options.description.workers)
      await this.startSide(place.host);
    for (const place of this.options.description.entries)
      await this.startEntry(place.host);
    await waitUntil("all processes are ready", () => this.isReady());
  }

  get operator(): OperatorSession {
    return new OperatorSession(
      [...this.entries.values()].map((entry) => entry.controlAddress),
    );
  }

  /** URLs of the entries for callers. */
  get urls(): readonly string[] {
    return [...this.entries.values()].map(({ url }) => url);
  }

  entry(name: string): EntryProcess {
    return requireFound(this.entries.get(hostId(name)), name);
  }

  side(name: string): SideProcess {
    return requireFound(this.sides.get(hostId(name)), name);
  }

  workerDescription(name: string): WorkerDescription {
    const { workers } = this.options.description;
    return requireFound(
      workers.find(({ host }) => host === name),
      name,
    );
  }

  async startSide(name: string, generation = 1): Promise<SideProcess> {
    const place = this.workerDescription(name);
    const worker = requireFound(this.platform.workers.get(place.host), name);
    const { host, availabilityZone, rack } = place;
    const settings = sideSettingsSchema.parse({
      host,
      generation,
      availabilityZone,
      rack,
      listen: ANY_PORT,
      worker: { url: worker.server.url },
      security: DEVELOPMENT,
      drain: SHORT_DRAIN,
      tasks: { renewEveryMs: 100 },
      ...this.options.sideSettings,
    });
    const side = new SideProcess({ settings, logger: this.logger });
    await side.start();
    this.sides.set(host, side);
    this.platform.listWorker(place, side.address, {
      generation: settings.generation,
    });
    return side;
  }

  async startEntry(name: string): Promise<EntryProcess> {
    const { entries } = this.options.description;
    const place = requireFound(
      entries.find(({ host }) => host === name),
      name,
    );
    const { host, availabilityZone } = place;
    const settings = entrySettingsSchema.parse({
      host,
      availabilityZone,
      listen: ANY_PORT,
      control: ANY_PORT,
      log: { url: this.platform.log.server.url },
      hostList: { url: this.platform.hostList.server.url, everyMs: 100 },
      security: DEVELOPMENT,
      drain: SHORT_DRAIN,
      ...this.options.entrySettings,
    });
    const entry = new EntryProcess({ settings, logger: this.logger });
    await entry.start();
    this.entries.set(host, entry);
    this.platform.listEntry(place, entry.controlAddress);
    return entry;
  }

  /** Shuts the entry down as in a planned stop. */
  async stopEntry(name: string): Promise<void> {
    const entry = this.entry(name);
    this.entries.delete(hostId(name));
    await entry.shutDown();
    this.platform.hostList.remove(hostId(name));
  }

  async killEntry(name: string): Promise<void> {
    const entry = this.entry(name);
    this.entries.delete(hostId(name));
    await entry.kill();
  }

  /** Shuts the side process down as in a planned stop; its worker keeps running. */
  async stopSide(name: string): Promise<void> {
    const side = this.side(name);
    this.sides.delete(hostId(name));
    await side.shutDown();
  }

  async killSide(name: string): Promise<void> {
    const side = this.side(name);
    this.sides.delete(hostId(name));
    await side.kill();
  }

  async close(): Promise<void> {
    await Promise.all([...this.entries.values()].map((entry) => entry.kill()));
    await Promise.all([...this.sides.values()].map((side) => side.kill()));
    await this.platform.close();
  }

  private isReady(): boolean {
    const entriesReady = [...this.entries.values()].every(
      (entry) => entry.notReadyReason() === undefined,
    );
    const sidesReady = [...this.sides.values()].every(
      ({ tasks }) => tasks.ready,
    );
    return entriesReady && sidesReady && this.hasAllSidesReady();
  }

  private hasAllSidesReady(): boolean {
    return [...this.entries.values()].every(
      ({ sides }) =>
        sides.views().filter(({ ready }) => ready).length === this.sides.size,
    );
  }
}

const requireFound = <T>(value: T | undefined, name: string): T => {
  if (value === undefined) throw new Error(`unknown process or host: ${name}`);
  return value;
};
