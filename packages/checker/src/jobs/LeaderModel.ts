/** Models one term of a leader: the real job engine in a process that can be paused. */

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
import { StoredRoster, TermLog } from "@rackspan/entry";
import { ProgressJournal, TakeoverGate, type JobRun } from "@rackspan/jobs";
import { latestLeaseExpiry } from "@rackspan/leadership";
import type { KeyedRecord, RunRef, StoreClient } from "@rackspan/ports";
import type { Grant, HostReport, LostRun } from "@rackspan/protocol";
import { DEFAULT_POLICY, JobEngine } from "@rackspan/scheduling";
import {
  decodeProgress,
  JobView,
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
  /** The leader stops deciding this long before its term may have ended. */
  marginMs: 150,
  joinEveryMs: 500,
  leaseMs: 6_000,
  stopMs: 200,
} as const;

/** Maximum delay until a leader sees what the store has persisted, milliseconds. */
export const VIEW_LAG_MS = 60;

/** Guards of recorded placements that can be switched off, to show that schedules detect it. */
export const PLACEMENT_MUTANTS = [
  /** An order is sent before the placement of its run is persisted. */
  "order-before-record",
  /** Stored placements are trusted whether or not every leader has recorded them. */
  "trust-without-term",
  /** Hosts that a leader of a former version has written do not revoke the trust. */
  "former-version-ignored",
  /** The takeover gate does not wait for one of the unreported hosts. */
  "host-left-out-of-gate",
] as const;

export type PlacementMutant = (typeof PLACEMENT_MUTANTS)[number];

/** A journal that reports placements as persisted before they are. */
class EagerJournal extends ProgressJournal {
  override async persistSoon(job: JobRun): Promise<void> {
    super.persistSoon(job).catch(() => undefined);
  }
}

/**
 * What a leader does about placements: it records them or not, or is of a version that
 * knows no placements and neither reads nor writes anything about them.
 */
export type PlacementMode = "on" | "off" | "former-version";

export interface LeaderModelOptions {
  readonly epoch: Epoch;
  readonly clock: Clock;
  readonly store: StoreClient;
  readonly queue: QueueSpec;
  /** The mode of the leader of an epoch; `off` for all when undefined. */
  readonly placementMode?: ((epoch: number) => PlacementMode) | undefined;
  readonly placementMutant?: PlacementMutant | undefined;
  /** Whether an attaching host closes its previous connection, as at real leaders. */
  readonly closesPreviousLinks: boolean;
  /** Whether the view of the entry currently shows the availability zone as evacuated. */
  readonly isEvacuated: (zone: AvailabilityZone) => boolean;
  /** Jobs in the current view of the entry, and whether they were cancelled. */
  readonly jobs: () => Iterable<{
    readonly accepted: AcceptedJob;
    readonly isCancelled: boolean;
  }>;
}

export class LeaderModel {
  readonly clock: ProcessClock;
  /** Whether the leader reaches sides but not the store. */
  isCutFromStore = false;
  /** When the store last confirmed the term, by the clock of the store. */
  confirmedAt: Monotonic;
  engine: JobEngine | undefined;
  /** When the engine was started; undefined before. */
  readyAt: Monotonic | undefined;
  private readonly links = new Map<HostId, SideLink>();
  /** The connection over which each host attached last. */
  private readonly attached = new Map<HostId, SideLink>();
  /** By host: when all leases that this leader has granted to its worker have expired. */
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

  /** Whether the leader handles reports and sends orders. */
  get canDecide(): boolean {
    const isAwake = !this.clock.isDead && !this.clock.isStalled;
    return isAwake && this.engine !== undefined && this.mayDecide();
  }

  /** When the last lease that this leader granted to the worker of the host expires. */
  grantsExpireAt(host: HostId): Monotonic {
    return this.grantExpiry.get(host) ?? -Infinity;
  }

  /** Reads the stored state and starts the engine. */
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
    const view = new JobView({ logger: silentLogger, metrics: new Metrics() });
    view.applyProgressRecords(toRecords(progress));
    view.applyHostRecords(toRecords(hosts));
    const { placementMutant, placementMode } = this.options;
    const mode = placementMode?.(Number(epoch)) ?? "off";
    const recordsPlacements = mode === "on";
    const roster = mode === "former-version" ? formerRoster(view) : view.roster;
    const isIgnoring = placementMutant === "former-version-ignored";
    const { lastTerm, hasUnreadableTerm, hasUnreadableProgress } = view;
    const termLog = new TermLog({
      view: {
        lastTerm,
        hasUnreadableTerm,
        hasUnreadableProgress,
        hostsWithoutPlacements: isIgnoring ? [] : view.hostsWithoutPlacements,
      },
      writer: progressWriter,
      epoch,
      recordsPlacements,
      logger: silentLogger,
    });
    const since = mode === "former-version" ? undefined : await termLog.begin();
    if (this.hasEnded || this.isDead) return;
    const isTrusting = placementMutant === "trust-without-term";
    const placementsSince = isTrusting && recordsPlacements ? 0 : since;
    const storedRoster = new StoredRoster(
      hostsWriter,
      silentLogger,
      roster,
      recordsPlacements,
    );
    const isLeavingOut = placementMutant === "host-left-out-of-gate";
    const { leaseMs, ttlMs, stopMs } = LEADERSHIP;
    const Journal =
      placementMutant === "order-before-record"
        ? EagerJournal
        : ProgressJournal;
    const gate = new TakeoverGate({
      takenOverAt,
      roster: [...roster.keys()].slice(isLeavingOut ? 1 : 0),
      leadershipTtlMs: ttlMs,
      leaseMs,
    });
    const engine = new JobEngine({
      epoch,
      clock: this.clock,
      logger: silentLogger,
      metrics: new Metrics(),
      journal: new Journal({
        writer: progressWriter,
        clock: this.clock,
        logger: silentLogger,
        batchWindowMs: 5,
      }),
      roster: storedRoster,
      gate,
      order: "byWorth",
      placer: "colocating",
      policy: {
        ...DEFAULT_POLICY,
        recordsPlacements,
        consolidatesServing: true,
      },
      leaseMs,
      stopMs,
      mayDecide: () => this.mayDecide(),
      queueOf: () => queue,
      isEvacuated: this.options.isEvacuated,
      persistLearned: () => undefined,
      permits: undefined,
      placementsSince,
      onPlacementsComplete: () => termLog.markComplete(storedRoster),
    });

    this.engine = engine;
    this.readyAt = this.clock.monotonic();
    for (const { accepted, isCancelled } of this.options.jobs()) {
      const { id } = accepted.spec;
      const stored = progress.get(id as unknown as string);
      engine.addJob(accepted, stored && decodeProgress(id, stored));
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

  /** Handles a change by the operator. */
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
    const previous = this.attached.get(host);
    this.attached.set(host, link);
    if (previous === link) return;
    previous?.closeAtLeader(() => this.detach(host, previous));
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

  /** @returns whether the leader may still grant leases; undefined when it does not answer */
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

  /** Ends the term: the leader makes no more decisions and closes its connections. */
  end(): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.engine?.stop();
    for (const writer of this.writers)
      writer.close(new Error("the term has ended"));
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
        // The store is unavailable: the read is retried for as long as the term lasts.
        if (this.hasEnded || this.isDead) return new Map();
        await new Promise<void>((resolve) => this.clock.after(100, resolve));
      }
    }
  }
}

const toRecords = (byKey: ReadonlyMap<string, Buffer>): KeyedRecord[] =>
  [...byKey].map(([key, value]) => ({ key, value }));

/** The roster as read by versions that know no placements. */
const formerRoster = ({ roster, hostsWithoutPlacements }: JobView): Roster =>
  new Map(
    [...roster].map(([host, instance]) => [
      host,
      hostsWithoutPlacements.includes(host) ? instance : undefined,
    ]),
  );
