/** The components of an entry, without its listeners, on a clock that can be paused. */

import {
  brand,
  describeError,
  freshId,
  hostId,
  Metrics,
  silentLogger,
  sleep,
  type Clock,
  type HostId,
  type Incarnation,
  type Random,
  type RequestId,
  type ServiceName,
} from "@rackspan/common";
import { AttemptLoop, Cancellation, KeyedRequests } from "@rackspan/entry";
import {
  ClaimReconciler,
  HostCertifier,
  HostDrainer,
  RendezvousOwnership,
  UnitPlacer,
  type HostDirectory,
} from "@rackspan/jobs";
import type { HostRecord, LogService } from "@rackspan/ports";
import {
  OutlierEjector,
  endpointPickers,
  RetryBudget,
} from "@rackspan/routing";
import { placers } from "@rackspan/scheduling";
import {
  Appender,
  Fold,
  LogFollower,
  SnapshotStore,
  type LogRecord,
  type Snapshot,
  type ApplyResult,
} from "@rackspan/state";
import { createSendAttempt, type RequestFault } from "./fakeAttempts.js";
import type { History } from "./history.js";
import type { HostLink } from "./HostLink.js";
import type { Mutant } from "./mutants.js";
import { ProcessClock } from "./ProcessClock.js";
import type { SideNode } from "./SideNode.js";

export interface EntryNodeOptions {
  readonly name: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: LogService;
  readonly history: History;
  readonly hosts: readonly string[];
  readonly sideOf: (host: string) => SideNode | undefined;
  readonly createLink: (host: string, clock: Clock) => HostLink;
  readonly hostList: () => readonly HostRecord[];
  readonly entries: () => readonly HostId[];
  readonly peerSnapshot: () => Snapshot | undefined;
  readonly nextFault: () => RequestFault;
  readonly mutant: Mutant | undefined;
}

const SWEEP_MS = 250;
const SERVICE = brand<ServiceName>("tally");
const LEASE_WAIT_MS = 4_500;
const ZONE = "zone-a" as never;

export class EntryNode {
  readonly clock: ProcessClock;
  readonly fold: Fold;
  readonly follower: LogFollower;
  readonly links = new Map<string, HostLink>();
  private readonly appender: Appender;
  private readonly keys: KeyedRequests;
  private readonly loop: AttemptLoop;
  private readonly placer: UnitPlacer;
  private readonly reconciler: ClaimReconciler;
  private readonly certifier: HostCertifier;
  private readonly drainer: HostDrainer;
  private readonly store: SnapshotStore;
  private readonly stop = new AbortController();
  private readonly process: string;

  constructor(private readonly options: EntryNodeOptions) {
    const { name, log, mutant, random } = options;
    this.clock = new ProcessClock(options.clock);
    const writer = freshId<Incarnation>();
    this.process = `${name} ${writer}`;
    this.fold = new Fold({
      ignoreDuplicates: mutant !== "no-deduplication",
      checkBaseVersion: mutant !== "no-base-version",
    });
    const { clock, fold } = this;
    const shared = {
      clock,
      random,
      metrics: new Metrics(),
      logger: silentLogger,
      fold,
    };
    this.store = new SnapshotStore(log);
    const peers = { fetchNewest: async () => options.peerSnapshot() };
    this.follower = new LogFollower({
      ...shared,
      log,
      peers,
      snapshots: this.store,
    });
    this.appender = new Appender({
      ...shared,
      log,
      writer,
      appendsPerSecond: 40,
    });
    if (mutant === "no-read-back") {
      this.appender = startBeforeReadBack(this.appender, fold, this.links);
    }
    const { appender } = this;
    for (const host of options.hosts)
      this.links.set(host, options.createLink(host, clock));
    const hosts: HostDirectory = {
      views: () =>
        [...this.links.values()].flatMap(({ view }) => (view ? [view] : [])),
      names: () => options.hosts.map(hostId),
      view: (host) => this.links.get(host)?.view,
      control: (host) => this.links.get(host),
    };
    const ownership = new RendezvousOwnership({
      self: hostId(name),
      members: options.entries,
    });
    const unitOptions = {
      ...shared,
      appender,
      ownership,
      hosts,
      takeoverMs: 400,
      claimTimeoutMs: 1_500,
      concurrency: 8,
      notStartedMs: 1_000,
      appendTimeoutMs: 3_000,
      longestLeaseMs: mutant === "no-lease-wait" ? 0 : LEASE_WAIT_MS,
    };
    this.placer = new UnitPlacer({
      ...unitOptions,
      placer: placers.create("leastLoaded", { random }),
    });
    this.reconciler = new ClaimReconciler(unitOptions);
    this.certifier = new HostCertifier(unitOptions);
    this.drainer = new HostDrainer(unitOptions);
    this.keys = new KeyedRequests({
      ...shared,
      appender,
      appendTimeoutMs: 3_000,
    });
    this.loop = new AttemptLoop({
      ...shared,
      sides: {
        serving: () => [...this.links.values()].filter((link) => link.serves),
        get: (host) => this.links.get(host),
      },
      sendAttempt: createSendAttempt({
        clock: options.clock,
        history: options.history,
        sideOf: (incarnation) =>
          options.hosts
            .map(options.sideOf)
            .find((side) => side?.incarnation === incarnation),
        nextFault: options.nextFault,
      }),
      picker: endpointPickers.create("random", {
        random,
        availabilityZone: ZONE,
      }),
      ejector: new OutlierEjector({
        clock,
        failuresToEject: 99,
        ejectMs: 1,
        maxEjectMs: 1,
        maxEjectedShare: 0,
      }),
      budget: new RetryBudget({ ratio: 1, burst: 100 }),
      maxAttempts: 3,
    });
  }

  start(): void {
    const { signal } = this.stop;
    void this.follower.run(signal);
    void this.appender.run(signal).catch(() => undefined);
    void this.sweepForever(signal).catch(() => undefined);
    for (const link of this.links.values())
      void this.syncForever(link, signal).catch(() => undefined);
  }

  kill(): void {
    this.stop.abort();
    this.clock.kill();
  }

  get isReady(): boolean {
    return this.follower.caughtUp && !this.follower.fault;
  }

  submit(
    record: LogRecord,
    timeoutMs = 2_000,
  ): Promise<ApplyResult | undefined> {
    return this.appender.submit(record, timeoutMs).catch(() => undefined);
  }

  /** Appends a snapshot of the fold. @returns whether it was written */
  async writeSnapshot(): Promise<boolean> {
    if (!this.isReady) return false;
    const snapshot = {
      covered: this.follower.position,
      state: this.fold.toSnapshot(),
    };
    return this.store.write(snapshot).then(
      () => true,
      () => false,
    );
  }

  /** Serves one keyed request in the same way as RequestRun. */
  async request(key: string): Promise<void> {
    const { history, mutant } = this.options;
    if (!this.isReady) return;
    const id = freshId<RequestId>();
    const keyed = { id, service: SERVICE, key, digest: "d" };
    const decision =
      mutant === "no-key-claim"
        ? ({ kind: "proceed" } as const)
        : await this.keys.begin(keyed, 2_000);
    if (decision.kind === "refused") {
      if (decision.problem.outcome === "not-run")
        history.record({ type: "toldNotRun", request: id });
      return;
    }
    if (decision.kind === "replay") {
      const answerOf = Buffer.from(decision.response.body ?? []).toString();
      history.record({
        type: "requestAnswered",
        request: key,
        answerOf,
        whole: true,
      });
      return;
    }
    const cancellation = new Cancellation();
    const deadline = this.clock.monotonic() + 3_000;
    const timer = this.clock.after(3_000, () =>
      cancellation.cancel("deadline"),
    );
    const result = await this.loop.run(
      {
        id,
        service: SERVICE,
        class: "batch",
        repeatable: false,
        method: "POST",
        path: `/${key}`,
        rawHeaders: [],
        body: Buffer.from(key),
        deadline,
      },
      cancellation,
    );
    timer.cancel();
    if (result.kind === "refused") {
      if (result.problem.outcome !== "not-run") return;
      this.keys.release(keyed);
      history.record({ type: "toldNotRun", request: id });
      return;
    }
    result.release(true);
    const answerOf = String(
      (result.response as unknown as { readonly text: string }).text,
    );
    this.keys.recordResponse(keyed, {
      status: 200,
      body: Buffer.from(answerOf),
    });
    history.record({
      type: "requestAnswered",
      request: key,
      answerOf,
      whole: true,
    });
  }

  private async sweepForever(signal: AbortSignal): Promise<void> {
    const { history, hostList } = this.options;
    let seen = -1;
    for (;;) {
      await sleep(this.clock, SWEEP_MS, signal);
      if (!this.isReady) continue;
      const version = this.fold.config.version as number;
      if (version !== seen)
        history.record({ type: "configSeen", process: this.process, version });
      seen = version;
      this.drainer.sweep(hostList());
      this.reconciler.sweep();
      this.placer.sweep();
      this.certifier.sweep(hostList());
    }
  }

  private async syncForever(
    link: HostLink,
    signal: AbortSignal,
  ): Promise<void> {
    for (;;) {
      await link.sync().catch((err: unknown) => describeError(err));
      await sleep(this.clock, SWEEP_MS, signal);
    }
  }
}

/** Mutant: starts tasks as soon as their claims are passed to the appender. */
const startBeforeReadBack = (
  appender: Appender,
  fold: Fold,
  links: ReadonlyMap<string, HostLink>,
): Appender =>
  new Proxy(appender, {
    get: (target, name) => {
      if (name !== "submit")
        return Reflect.get(target, name, target) as unknown;
      return (record: LogRecord, timeoutMs: number) => {
        const unit =
          record.type === "claim" ? fold.units.get(record.unit) : undefined;
        if (unit && record.type === "claim") {
          const { host, generation, reservation } = record;
          const { specVersion } = unit;
          const claim = {
            host,
            generation,
            reservation,
            specVersion,
            sequence: fold.sequence,
          };
          void links
            .get(host)
            ?.start({ ...unit, claim })
            .catch(() => undefined);
        }
        return target.submit(record, timeoutMs);
      };
    },
  });
