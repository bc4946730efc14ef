/** One term of leading: the product's own engine in a process that may stand still. */

import {
  Metrics,
  silentLogger,
  type AvailabilityZone,
  type Clock,
  type Epoch,
  type HostId,
  type Monotonic,
  type WorkerInstance,
} from "@rackspan/common";
import { StoredRoster } from "@rackspan/entry";
import { ProgressJournal, TakeoverGate } from "@rackspan/jobs";
import { latestLeaseExpiry } from "@rackspan/leadership";
import type { RunRef, StoreClient } from "@rackspan/ports";
import type { Grant, HostReport, LostRun } from "@rackspan/protocol";
import { DEFAULT_POLICY, JobEngine } from "@rackspan/scheduling";
import {
  decodeHost,
  decodeProgress,
  TopicWriter,
  TOPICS,
  type AcceptedJob,
  type JobId,
  type QueueSpec,
  type Roster,
} from "@rackspan/state";
import { ProcessClock } from "../ProcessClock.js";
import type { SideLink } from "./SideLink.js";

export const LEADERSHIP = {
  ttlMs: 2_500,
  /** The leader stops deciding this long before its term may be over. */
  marginMs: 150,
  joinEveryMs: 500,
  leaseMs: 6_000,
  stopMs: 200,
} as const;

/** Longest time until a leader sees what the store keeps, milliseconds. */
export const VIEW_LAG_MS = 60;

export interface LeaderModelOptions {
  readonly epoch: Epoch;
  readonly clock: Clock;
  readonly store: StoreClient;
  readonly queue: QueueSpec;
  /** Whether a host that attaches ends its connection before, as leaders do. */
  readonly closesPreviousLinks: boolean;
  /** What the entry's view says of the zone now. */
  readonly isEvacuated: (zone: AvailabilityZone) => boolean;
  /** Jobs as the entry's view holds them now, and whether they were cancelled. */
  readonly jobs: () => Iterable<{
    readonly accepted: AcceptedJob;
    readonly isCancelled: boolean;
  }>;
}

export class LeaderModel {
  readonly clock: ProcessClock;
  /** Whether it reaches sides and not the store. */
  isCutFromStore = false;
  /** When the store last confirmed its term, by the store's own time. */
  confirmedAt: Monotonic;
  engine: JobEngine | undefined;
  private readonly links = new Map<HostId, SideLink>();
  /** The connection of each host that attached last. */
  private readonly attached = new Map<HostId, SideLink>();
  /** By host: when all that this leader has granted its worker is over. */
  private readonly grantExpiry = new Map<HostId, Monotonic>();
  private readonly writers: TopicWriter[] = [];
  private hasEnded = false;

  constructor(private readonly options: LeaderModelOptions) {
    this.clock = new ProcessClock(options.clock);
    this.confirmedAt = options.clock.monotonic();
    this.renew();
  }

  get isDead(): boolean {
    return this.clock.isDead;
  }

  /** Whether it takes reports and gives orders. */
  get canDecide(): boolean {
    const isAwake = !this.clock.isDead && !this.clock.standsStill;
    return isAwake && this.engine !== undefined && this.mayDecide();
  }

  /** From then on the host's worker runs nothing that this leader has let it run. */
  grantsExpireAt(host: HostId): Monotonic {
    return this.grantExpiry.get(host) ?? -Infinity;
  }

  /** Reads what the store keeps, and begins. */
  async begin(): Promise<void> {
    const { epoch, queue } = this.options;
    const takenOverAt = this.clock.monotonic();
    const progressWriter = this.writerOf(TOPICS.progress);
    const hostsWriter = this.writerOf(TOPICS.hosts);
    await progressWriter.fenceLowerEpochs();
    await hostsWriter.fenceLowerEpochs();
    const progress = await this.read(TOPICS.progress);
    const hosts = await this.read(TOPICS.hosts);
    if (this.hasEnded || this.isDead) return;
    const roster: Roster = new Map(
      [...hosts].map(([key, value]) => [
        key as unknown as HostId,
        decodeHost(key, value),
      ]),
    );
    const { leaseMs, ttlMs, stopMs } = LEADERSHIP;
    const gate = new TakeoverGate({
      takenOverAt,
      roster: roster.keys(),
      leadershipTtlMs: ttlMs,
      leaseMs,
    });
    const engine = new JobEngine({
      epoch,
      clock: this.clock,
      logger: silentLogger,
      metrics: new Metrics(),
      journal: new ProgressJournal({
        writer: progressWriter,
        clock: this.clock,
        batchWindowMs: 5,
      }),
      roster: new StoredRoster(hostsWriter, silentLogger, roster),
      gate,
      order: "byWorth",
      placer: "colocating",
      policy: DEFAULT_POLICY,
      leaseMs,
      stopMs,
      mayDecide: () => this.mayDecide(),
      queueOf: () => queue,
      isEvacuated: this.options.isEvacuated,
      persistLearned: () => undefined,
      permits: undefined,
    });

    this.engine = engine;
    for (const { accepted, isCancelled } of this.options.jobs()) {
      const { id } = accepted.spec;
      const kept = progress.get(id as unknown as string);
      engine.addJob(accepted, kept && decodeProgress(id, kept));
      if (isCancelled) engine.cancelJob(id);
    }
    engine.start();
    const waitMs =
      gate.authorityExpiresBy + VIEW_LAG_MS - this.clock.monotonic();
    this.clock.after(waitMs, () =>
      gate.markViewCurrent(this.clock.monotonic()),
    );
  }

  addJob(job: AcceptedJob): void {
    if (!this.hasEnded) this.engine?.addJob(job, undefined);
  }

  cancelJob(id: JobId): void {
    if (!this.hasEnded) this.engine?.cancelJob(id);
  }

  /** The operator has written something. */
  handleOperatorChange(): void {
    if (!this.hasEnded) this.engine?.handleOperatorChange();
  }

  addLink(host: HostId, link: SideLink): void {
    this.links.set(host, link);
  }

  attach(host: HostId, link: SideLink): Epoch | undefined {
    if (this.hasEnded || !this.engine) return undefined;
    this.engine.attach(host, link);
    if (this.options.closesPreviousLinks) this.closePreviousLink(host, link);
    return this.options.epoch;
  }

  private closePreviousLink(host: HostId, link: SideLink): void {
    const former = this.attached.get(host);
    this.attached.set(host, link);
    if (former === link) return;
    former?.closeAtLeader(() => this.detach(host, former));
  }

  detach(host: HostId, link: SideLink): void {
    if (!this.hasEnded) this.engine?.detach(host, link);
  }

  report(
    host: HostId,
    zone: AvailabilityZone,
    report: HostReport,
  ): Grant | undefined {
    if (this.hasEnded || !this.engine) return undefined;
    const now = this.clock.monotonic();
    this.grantExpiry.set(host, latestLeaseExpiry(now, LEADERSHIP.leaseMs));
    return this.engine.handleReport(host, zone, report);
  }

  /** @returns whether it may still grant leases; undefined when it does not answer */
  handleWorkerSilent(
    host: HostId,
    overInMs: number | undefined,
    neverBegun: readonly RunRef[],
  ): boolean | undefined {
    if (this.hasEnded) return undefined;
    return this.engine?.handleWorkerSilent(host, overInMs, neverBegun);
  }

  handleWorkerGone(
    host: HostId,
    instance: WorkerInstance,
    lostRuns: readonly LostRun[],
    unheardEnds: readonly RunRef[],
  ): void {
    if (this.hasEnded) return;
    void this.engine?.handleWorkerGone(host, instance, lostRuns, unheardEnds);
  }

  /** Its term is over: it decides nothing more, and its connections end. */
  end(): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.engine?.stop();
    for (const writer of this.writers) writer.close(new Error("term over"));
    this.closeLinks();
  }

  kill(): void {
    this.hasEnded = true;
    this.clock.kill();
    this.closeLinks();
  }

  private closeLinks(): void {
    for (const link of this.links.values()) {
      link.closeAtLeader(() => undefined);
    }
  }

  private mayDecide(): boolean {
    const { ttlMs, marginMs } = LEADERSHIP;
    const age = this.clock.leaseTime() - this.confirmedAt;
    return !this.hasEnded && age < ttlMs - marginMs;
  }

  private renew(): void {
    this.clock.after(LEADERSHIP.joinEveryMs, () => {
      if (this.hasEnded) return;
      if (this.clock.leaseTime() - this.confirmedAt >= LEADERSHIP.ttlMs) {
        this.end();
        return;
      }
      if (!this.isCutFromStore) this.confirmedAt = this.clock.leaseTime();
      this.renew();
    });
  }

  private writerOf(topic: (typeof TOPICS)[keyof typeof TOPICS]): TopicWriter {
    const writer = new TopicWriter({
      topic,
      store: this.options.store,
      clock: this.clock,
      logger: silentLogger,
      producer: "leader",
      epoch: this.options.epoch,
      batchWindowMs: 0,
      retriesRefusedBatches: true,
    });
    this.writers.push(writer);
    return writer;
  }

  private async read(
    topic: (typeof TOPICS)[keyof typeof TOPICS],
  ): Promise<Map<string, Buffer>> {
    for (;;) {
      try {
        const { records } = await this.options.store.readNewest(topic);
        return new Map(
          records.flatMap(({ key, value }) => (value ? [[key, value]] : [])),
        );
      } catch {
        // The store is away: it is asked again for as long as the term lasts.
        if (this.hasEnded || this.isDead) return new Map();
        await new Promise<void>((resolve) => this.clock.after(100, resolve));
      }
    }
  }
}
