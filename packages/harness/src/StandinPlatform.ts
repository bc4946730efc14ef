/** The platform of a site: stand-ins of the log, the host list and the workers in this process. */

import { brand, type HostGeneration, type HostId } from "@rackspan/common";
import type { HostRecord } from "@rackspan/ports";
import {
  HostListStandin,
  LogStandin,
  RequestLedger,
  TaskLedger,
  WorkerStandin,
} from "@rackspan/standins";
import type { SiteDescription } from "./siteFile.js";

const LONGEST_LEASE_MS = 60_000;
const FIRST_GENERATION = brand<HostGeneration>(1);

export type WorkerDescription = SiteDescription["workers"][number];

export class StandinPlatform {
  readonly log = new LogStandin();
  readonly hostList = new HostListStandin();
  readonly tasks = new TaskLedger();
  readonly requests = new RequestLedger();
  readonly workers = new Map<HostId, WorkerStandin>();

  constructor(private readonly site: SiteDescription) {}

  async start(): Promise<void> {
    await this.log.server.listen(this.site.logPort);
    await this.hostList.server.listen(this.site.hostListPort);
    for (const place of this.site.workers) await this.startWorker(place);
  }

  /** Starts a worker on the host, replacing an earlier one that has ended. */
  async startWorker(place: WorkerDescription): Promise<WorkerStandin> {
    const { accelerators, host, workerPort } = place;
    const worker = new WorkerStandin({
      name: host,
      capacity: { ...this.site.worker, accelerators },
      longestLeaseMs: LONGEST_LEASE_MS,
      tasks: this.tasks,
      requests: this.requests,
    });
    await worker.server.listen(workerPort);
    this.workers.set(host, worker);
    return worker;
  }

  /** Adds an endpoint host to the host list. */
  listWorker(
    place: WorkerDescription,
    address: string,
    changes: Partial<HostRecord> = {},
  ): void {
    const { host, availabilityZone, rack } = place;
    this.hostList.put({
      host,
      availabilityZone,
      rack,
      address,
      role: "endpoint",
      state: "live",
      generation: FIRST_GENERATION,
      ...changes,
    });
  }

  listEntry(place: SiteDescription["entries"][number], address: string): void {
    const { host, availabilityZone, rack } = place;
    this.hostList.put({
      host,
      availabilityZone,
      rack,
      address,
      role: "entry",
      state: "live",
      generation: FIRST_GENERATION,
    });
  }

  async close(): Promise<void> {
    for (const worker of this.workers.values()) await worker.kill();
    await this.log.server.close();
    await this.hostList.server.close();
  }
}
