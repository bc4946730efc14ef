/** The entry process: creates its parts, and starts and stops them in order. */

import {
  brand,
  createLogger,
  describeError,
  freshId,
  Metrics,
  SystemRandom,
  sleep,
  SystemClock,
  type Clock,
  type EntryId,
  type Incarnation,
  type Logger,
  type Random,
} from "@rackspan/common";
import {
  ClaimReconciler,
  HostCertifier,
  HostDrainer,
  RendezvousOwnership,
  UnitPlacer,
} from "@rackspan/jobs";
import { Lifecycle, type LifecyclePart } from "@rackspan/kernel";
import {
  hostLists,
  logServices,
  type HostList,
  type LogService,
} from "@rackspan/ports";
import { PolicyEvaluator } from "@rackspan/policies";
import {
  DeadlineQueue,
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
  SnapshotWriter,
} from "@rackspan/state";
import { AttemptLoop } from "./AttemptLoop.js";
import { ControlServer } from "./ControlServer.js";
import { PolicyPlacer } from "./PolicyPlacer.js";
import { HostListWatcher } from "./HostListWatcher.js";
import { HttpPeerSnapshots } from "./HttpPeerSnapshots.js";
import { KeyedRequests } from "./KeyedRequests.js";
import { createOperatorHandlers } from "./operatorHandlers.js";
import { RequestServer } from "./RequestServer.js";
import type { EntrySettings } from "./settings.js";
import { SideDirectory } from "./SideDirectory.js";
import { ReconcileLoop } from "./ReconcileLoop.js";

export interface EntryProcessOptions {
  readonly settings: EntrySettings;
  readonly clock?: Clock;
  readonly random?: Random;
  readonly log?: LogService;
  readonly hostList?: HostList;
  readonly logger?: Logger;
}

export class EntryProcess {
  readonly metrics = new Metrics();
  readonly fold = new Fold();
  readonly sides: SideDirectory;
  readonly follower: LogFollower;
  private readonly policies: PolicyEvaluator;
  private readonly appender: Appender;
  private readonly hostList: HostListWatcher;
  private readonly requests: RequestServer;
  private readonly control: ControlServer;
  private readonly reconcileLoop: ReconcileLoop;
  private readonly snapshots: SnapshotWriter;
  private readonly lifecycle: Lifecycle;
  private readonly stopped = new AbortController();
  private readonly clock: Clock;
  private readonly logger: Logger;
  private readonly settings: EntrySettings;

  constructor(options: EntryProcessOptions) {
    const { settings } = options;
    const { host, log: logSettings, jobs } = settings;
    this.settings = settings;
    this.clock = options.clock ?? new SystemClock();
    const base = options.logger ?? createLogger({ level: settings.logLevel });
    this.logger = base.with({ role: "entry", host });
    const random = options.random ?? new SystemRandom();
    const log =
      options.log ?? logServices.create(logSettings.client, logSettings);
    const hostList =
      options.hostList ??
      hostLists.create(settings.hostList.client, settings.hostList);
    const entry = brand<EntryId>(host);
    const { fold } = this;
    const shared = {
      clock: this.clock,
      random,
      metrics: this.metrics,
      logger: this.logger,
    };

    this.policies = new PolicyEvaluator(shared);
    fold.applied.on(({ record, result }) => {
      if (record.type === "apply" && result.accepted) this.applyPolicies();
    });
    const writer = freshId<Incarnation>();
    const { appendsPerSecond } = logSettings;
    this.appender = new Appender({
      ...shared,
      log,
      fold,
      writer,
      appendsPerSecond,
    });
    const store = new SnapshotStore(log);
    const peers = new HttpPeerSnapshots({
      self: host,
      hostList,
      logger: this.logger,
    });
    this.follower = new LogFollower({
      ...shared,
      log,
      fold,
      peers,
      snapshots: store,
    });
    this.snapshots = new SnapshotWriter({
      ...shared,
      fold,
      store,
      follower: this.follower,
      retentionMs: logSettings.retentionMs,
      everyEntries: logSettings.snapshotEveryEntries,
    });
    this.hostList = new HostListWatcher({
      ...shared,
      hostList,
      ...settings.hostList,
    });
    this.sides = new SideDirectory({
      ...shared,
      entry,
      syncMs: settings.sides.syncMs,
      subsetLeast: settings.routing.subsetLeast,
    });

    const { appender, sides, follower } = this;
    const members = () => this.hostList.liveEntryIds();
    const ownership = new RendezvousOwnership({ self: host, members });
    const unitOptions = {
      ...shared,
      ...jobs,
      fold,
      appender,
      ownership,
      hosts: sides,
    };
    this.reconcileLoop = new ReconcileLoop({
      ...shared,
      fold,
      sides,
      follower,
      placer: new UnitPlacer({
        ...unitOptions,
        placer: new PolicyPlacer(
          placers.create(jobs.placer, { random }),
          this.policies,
        ),
      }),
      claimReconciler: new ClaimReconciler(unitOptions),
      certifier: new HostCertifier(unitOptions),
      drainer: new HostDrainer(unitOptions),
      hostList: this.hostList,
      intervalMs: jobs.sweepMs,
    });
    this.requests = this.createRequestServer(shared);
    this.control = this.createControlServer();
    this.lifecycle = new Lifecycle(this.parts(), this.logger);
  }

  start(): Promise<void> {
    return this.lifecycle.start();
  }

  /** Planned stop: requests in progress are completed. */
  shutDown(): Promise<void> {
    return this.lifecycle.shutDown();
  }

  /** Stops at once, like a kill. */
  kill(): Promise<void> {
    return this.lifecycle.kill();
  }

  /** URL for callers. */
  get url(): string {
    return this.requests.url;
  }

  /** `IP:PORT` for operators and other entries. */
  get controlAddress(): string {
    return this.control.address;
  }

  /** Why this entry is not ready; undefined if it is. */
  notReadyReason(): string | undefined {
    const { fault, caughtUp } = this.follower;
    if (fault) return describeError(fault);
    if (!caughtUp) return "the log has not been read to its end yet";
    return this.lifecycle.state === "running"
      ? undefined
      : this.lifecycle.state;
  }

  private createRequestServer(shared: SharedParts): RequestServer {
    const { routing, classes, keys, limits, jobs, availabilityZone } =
      this.settings;
    const { clock, random } = shared;
    const { fold, sides, appender } = this;
    const loop = new AttemptLoop({
      ...shared,
      sides,
      picker: endpointPickers.create(routing.picker, {
        random,
        availabilityZone,
      }),
      ejector: new OutlierEjector({ clock, ...routing }),
      budget: new RetryBudget({
        ratio: routing.retryRatio,
        burst: routing.retryBurst,
      }),
      maxAttempts: routing.maxAttempts,
    });
    const { appendTimeoutMs } = jobs;
    return new RequestServer({
      ...shared,
      ...limits,
      fold,
      sides,
      loop,
      keys: new KeyedRequests({ ...shared, fold, appender, appendTimeoutMs }),
      policies: this.policies,
      queues: {
        check: new DeadlineQueue({ clock, ...classes.check }),
        query: new DeadlineQueue({ clock, ...classes.query }),
        batch: new DeadlineQueue({ clock, ...classes.batch }),
        watch: new DeadlineQueue({ clock, ...classes.watch }),
      },
      keepBodyBytes: routing.keepBodyBytes,
      keepAnswerBytes: keys.keepAnswerBytes,
      watchResumeMs: routing.watchResumeMs,
      isReady: () => this.follower.caughtUp,
    });
  }

  private createControlServer(): ControlServer {
    const { fold, follower, appender, sides, hostList, clock, metrics } = this;
    const { host, jobs } = this.settings;
    return new ControlServer({
      fold,
      follower,
      metrics,
      notReadyReason: () => this.notReadyReason(),
      publishGauges: () => this.publishGauges(),
      handlers: createOperatorHandlers({
        host,
        fold,
        follower,
        appender,
        sides,
        hostList,
        clock,
        metrics,
        isReady: () => this.notReadyReason() === undefined,
        appendTimeoutMs: jobs.appendTimeoutMs,
      }),
    });
  }

  private applyPolicies(): void {
    this.policies.replace(this.fold.config.ofKind("policy"));
  }

  private publishGauges(): void {
    const { metrics, fold, follower, appender, requests } = this;
    metrics.gauge("config_version", fold.config.version);
    metrics.gauge("log_position", follower.position);
    metrics.gauge("live_units", fold.units.unfinishedCount);
    metrics.gauge("appends_queued", appender.queueLength);
    metrics.gauge("requests_in_progress", requests.requestsInProgress);
    metrics.gauge("open_watches", requests.openWatches);
  }

  /** The parts in start order; they are drained in this order and stopped in reverse order. */
  private parts(): LifecyclePart[] {
    const { listen, control, drain } = this.settings;
    const { signal } = this.stopped;
    let tasks: Promise<unknown> = Promise.resolve();
    return [
      {
        name: "tasks",
        start: async () => {
          this.hostList.updated.on((records) => {
            this.sides.update(records);
            this.sides.setEntries(this.hostList.liveEntryIds());
          });
          this.follower.restoredFromSnapshot.on(() => this.applyPolicies());
          tasks = Promise.all([
            this.follower.run(signal),
            this.appender.run(signal),
            this.hostList.run(signal),
            this.snapshots.run(signal),
            this.reconcileLoop.run(signal),
          ]).catch((err: unknown) =>
            this.logger.error("task.failed", { error: describeError(err) }),
          );
        },
        stop: async () => {
          this.stopped.abort();
          this.sides.close();
          await tasks;
        },
      },
      {
        name: "control",
        start: () => this.control.listen(control),
        stop: () => this.control.close(),
      },
      {
        name: "requests",
        start: () => this.requests.listen(listen),
        drain: async () => {
          // The load balancer must first detect that this entry is no longer ready.
          await sleep(this.clock, drain.noticeMs);
          await this.requests.drain(drain.limitMs);
        },
        stop: () => this.requests.close(),
      },
    ];
  }
}

interface SharedParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly logger: Logger;
}
