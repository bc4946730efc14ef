/** Simulates two entries and three hosts on fakes of the platform, and injects faults. */

import {
  brand,
  hostId,
  ManualClock,
  SeededRandom,
  type Clock,
  type HostGeneration,
  type HostId,
  type Resources,
} from "@rackspan/common";
import type { HostRecord } from "@rackspan/ports";
import { jobSchema, jobUnitId, RECORD_STREAM } from "@rackspan/state";
import { EntryNode } from "./EntryNode.js";
import type { RequestFault } from "./fakeAttempts.js";
import { FakeLog } from "./FakeLog.js";
import { FakeWorker } from "./FakeWorker.js";
import { followLog } from "./followLog.js";
import { History } from "./history.js";
import { HostLink } from "./HostLink.js";
import type { Mutant } from "./mutants.js";
import { SideNode } from "./SideNode.js";

const HOSTS = ["host-1", "host-2", "host-3"] as const;
const ENTRIES = ["entry-1", "entry-2"] as const;
const CAPACITY: Resources = { processors: 4, memoryMiB: 100, accelerators: 1 };
const HOST_LIST_LAG_MS = 700;
const MAX_SETTLE_MS = 90_000;
const SETTLE_STEP_MS = 1_000;
const MIN_SETTLE_MS = 12_000;
const QUOTA = "team-a";

interface Host {
  readonly name: string;
  generation: number;
  worker: FakeWorker;
  side: SideNode | undefined;
  /** Entries that cannot reach the host. */
  readonly cutFrom: Set<string>;
}

export class World {
  readonly clock = new ManualClock();
  readonly history = new History(() => this.clock.monotonic());
  readonly log = new FakeLog(this.clock);
  private readonly random: SeededRandom;
  private readonly hosts: Host[] = [];
  private readonly entries = new Map<string, EntryNode>();
  private readonly hostList = new Map<HostId, HostRecord>();
  private readonly faults: RequestFault[] = [];
  private readonly jobs: string[] = [];
  private quotaValue = 0;

  constructor(
    seed: number,
    private readonly mutant?: Mutant,
  ) {
    this.random = new SeededRandom(seed);
    followLog(this.log, this.history);
    for (const name of HOSTS) {
      this.hosts.push({
        name,
        generation: 1,
        worker: this.createWorker(name, 1),
        side: undefined,
        cutFrom: new Set(),
      });
    }
    for (const host of this.hosts) this.startSide(host);
    for (const name of ENTRIES) this.startEntry(name);
  }

  host(index: number): Host {
    return this.hosts[index % this.hosts.length] as Host;
  }

  entry(index: number): EntryNode | undefined {
    return this.entries.get(ENTRIES[index % ENTRIES.length] as string);
  }

  submitJob(index: number, runMs: number, processors: number): void {
    const name = `j${this.jobs.length}`;
    this.jobs.push(name);
    const job = jobSchema.parse({
      kind: "job",
      name,
      resources: { processors, memoryMiB: 10 },
      program: { name: "batch", args: { runMs } },
      maxFailures: 100,
    });
    void this.entry(index)?.submit({ type: "submit", job });
  }

  cancelJob(index: number): void {
    const name = this.jobs[index % Math.max(1, this.jobs.length)];
    if (name)
      void this.entry(index)?.submit({ type: "cancel", unit: jobUnitId(name) });
  }

  /** Sends a request to an entry, possibly with the key of an earlier request. */
  request(index: number, key: number, fault: RequestFault): void {
    if (fault !== "none") this.faults.push(fault);
    void this.entry(index)?.request(`k${key}`);
  }

  /** Submits changes by several operators, each based on the version that its entry shows now. */
  changeConfig(operators: number): void {
    for (let operator = 0; operator < operators; operator += 1) {
      const entry = this.entry(operator);
      if (!entry?.isReady) continue;
      const base = entry.fold.config.version;
      const value = (this.quotaValue += 1);
      const declaration = {
        kind: "quota",
        name: QUOTA,
        resources: { processors: 100, memoryMiB: 10_000, accelerators: 0 },
        maxJobs: value,
      } as const;
      const changes = [{ action: "put", declaration }] as const;
      void entry.submit({
        type: "apply",
        operator: `op-${operator}`,
        base,
        changes: [...changes],
      });
    }
  }

  killEntry(index: number): void {
    const name = ENTRIES[index % ENTRIES.length] as string;
    this.entries.get(name)?.kill();
    this.entries.delete(name);
  }

  restartEntry(index: number): void {
    const name = ENTRIES[index % ENTRIES.length] as string;
    if (!this.entries.has(name)) this.startEntry(name);
  }

  killSide(index: number): void {
    const host = this.host(index);
    host.side?.kill();
    host.side = undefined;
  }

  restartSide(index: number): void {
    const host = this.host(index);
    if (!host.side) this.startSide(host);
  }

  /** Starts a second side process while the first is paused; the first then resumes. */
  replacePausedSide(index: number, pausedMs: number): void {
    const host = this.host(index);
    const old = host.side;
    old?.clock.pause();
    this.startSide(host);
    this.clock.after(pausedMs, () => old?.clock.resume());
  }

  pauseSide(index: number, ms: number): void {
    const { side } = this.host(index);
    side?.clock.pause();
    this.clock.after(ms, () => side?.clock.resume());
  }

  pauseEntry(index: number, ms: number): void {
    const entry = this.entry(index);
    entry?.clock.pause();
    this.clock.after(ms, () => entry?.clock.resume());
  }

  /** Replaces a host that was lost with all its tasks; the host list shows this later. */
  replaceHost(index: number): void {
    const host = this.host(index);
    host.side?.kill();
    host.worker.kill();
    host.generation += 1;
    host.worker = this.createWorker(host.name, host.generation);
    this.startSide(host);
  }

  /**
   * Replaces a host that runs on, unreachable, until its leases expire; the platform treats it
   * as lost, and the host list shows the replacement.
   */
  abandonHost(index: number): void {
    const host = this.host(index);
    host.side?.kill();
    host.generation += 1;
    host.worker.abandon();
    host.worker = this.createWorker(host.name, host.generation);
    this.startSide(host);
  }

  drainHost(index: number): void {
    const host = this.host(index);
    const { side } = host;
    if (!side) return;
    const { generation } = host;
    const record = {
      type: "hostDraining",
      host: hostId(host.name),
      generation: brand<HostGeneration>(generation),
    } as const;
    void this.entry(index)
      ?.submit(record)
      .then((result) => {
        if (!result?.accepted || host.generation !== generation) return;
        this.history.record({
          type: "hostLeaving",
          host: `${host.name}@${generation}`,
        });
      });
  }

  cutLink(entry: number, host: number, ms: number): void {
    const { cutFrom } = this.host(host);
    const name = ENTRIES[entry % ENTRIES.length] as string;
    cutFrom.add(name);
    this.clock.after(ms, () => cutFrom.delete(name));
  }

  loseAnswers(index: number, count: number): void {
    this.host(index).worker.loseAnswers = count;
    for (const entry of this.entries.values()) {
      const link = entry.links.get(this.host(index).name);
      if (link) link.loseAnswers = count;
    }
  }

  /** Delays the next start order at the host. */
  delayStart(index: number, ms: number): void {
    const host = this.host(index);
    host.worker.delayNextStartMs = ms;
  }

  logFault(kind: "down" | "slow", ms: number): void {
    this.log[kind] = true;
    this.clock.after(ms, () => (this.log[kind] = false));
  }

  /** Drops the log entries that a snapshot covers and every running entry has read. */
  cutRetention(index: number): void {
    const entry = this.entry(index);
    if (!entry) return;
    const covered = entry.follower.position;
    void entry.writeSnapshot().then((written) => {
      if (!written) return;
      const positions = [...this.entries.values()].map(
        ({ follower }) => follower.position,
      );
      this.log.truncate("records", Math.min(covered, ...positions));
    });
  }

  advance(ms: number): Promise<void> {
    return this.clock.advance(ms);
  }

  /** Ends all faults, waits until the world is idle, and records the final state. */
  async finish(): Promise<void> {
    this.log.down = false;
    this.log.slow = false;
    this.log.loseAnswers = 0;
    this.faults.length = 0;
    for (const host of this.hosts) {
      host.cutFrom.clear();
      host.side?.clock.resume();
      if (host.side?.statusPublisher.leaving)
        this.replaceHost(this.hosts.indexOf(host));
      else if (!host.side) this.startSide(host);
    }
    for (const [name, entry] of this.entries) {
      entry.clock.resume();
      if (!entry.follower.fault) continue;
      entry.kill();
      this.entries.delete(name);
    }
    ENTRIES.forEach((_, index) => this.restartEntry(index));
    // Pending appends may still take effect: idleness is checked only after a minimum time.
    await this.advance(MIN_SETTLE_MS);
    for (
      let passed = 0;
      passed < MAX_SETTLE_MS && !this.isIdle();
      passed += SETTLE_STEP_MS
    ) {
      await this.advance(SETTLE_STEP_MS);
    }
    this.recordFinalState();
    for (const entry of this.entries.values()) entry.kill();
    for (const { side } of this.hosts) side?.kill();
  }

  /** Whether all entries have read the whole log and no unit is unfinished. */
  private isIdle(): boolean {
    const end = this.log.end(RECORD_STREAM);
    return [...this.entries.values()].every(
      ({ isReady, follower, fold }) =>
        isReady && follower.position >= end && fold.units.unfinishedCount === 0,
    );
  }

  private recordFinalState(): void {
    for (const [process, { fold }] of this.entries) {
      for (const name of this.jobs) {
        const unit = jobUnitId(name);
        const finish = fold.units.get(unit)?.finish;
        this.history.record({ type: "jobFinal", unit, finish });
      }
      const quota = fold.config.get("quota", QUOTA);
      if (quota?.kind !== "quota") continue;
      this.history.record({
        type: "configFinal",
        process,
        name: QUOTA,
        value: quota.maxJobs,
      });
    }
  }

  private createWorker(name: string, generation: number): FakeWorker {
    const host = `${name}@${generation}`;
    const { clock, history } = this;
    const ignoreOwner = this.mutant === "no-owner-check";
    return new FakeWorker({
      host,
      clock,
      history,
      capacity: CAPACITY,
      ignoreOwner,
    });
  }

  private startSide(host: Host): void {
    const { name, generation, worker } = host;
    const expireReservations = this.mutant !== "no-reservation-expiry";
    host.side = new SideNode({
      host: name,
      generation,
      clock: this.clock,
      worker,
      expireReservations,
    });
    host.side.start();
    const record = {
      host: hostId(name),
      generation: brand<HostGeneration>(generation),
      role: "endpoint",
      state: "live",
      address: "127.0.0.1:1",
      availabilityZone: "zone-a",
      rack: "r1",
    } as HostRecord;
    this.clock.after(HOST_LIST_LAG_MS, () =>
      this.hostList.set(record.host, record),
    );
  }

  private startEntry(name: string): void {
    const { clock, random, log, history, mutant } = this;
    const entry: EntryNode = new EntryNode({
      name,
      clock,
      random,
      log,
      history,
      mutant,
      hosts: HOSTS,
      sideOf: (host) =>
        this.hosts.find((candidate) => candidate.name === host)?.side,
      createLink: (host, entryClock) => this.createLink(name, host, entryClock),
      hostList: () => [...this.hostList.values()],
      entries: () => [...this.entries.keys()].map(hostId),
      peerSnapshot: () => {
        const peer = [...this.entries.values()].find(
          (other) => other !== entry && other.isReady,
        );
        return (
          peer && {
            covered: peer.follower.position,
            state: structuredClone(peer.fold.toSnapshot()),
          }
        );
      },
      nextFault: () => this.faults.shift() ?? "none",
    });
    this.entries.set(name, entry);
    entry.start();
  }

  private createLink(entry: string, name: string, clock: Clock): HostLink {
    const find = (): Host | undefined =>
      this.hosts.find((host) => host.name === name);
    return new HostLink({
      host: name,
      clock,
      side: () => find()?.side,
      isCut: () => find()?.cutFrom.has(entry) ?? true,
      skipTaskFence: this.mutant === "no-task-fence",
      skipRequestFence: this.mutant === "no-request-fence",
    });
  }
}
