/** The entry process for jobs: serves callers, and leads when it is its turn. */

import { createServer, type Server } from "node:http";
import {
  createLogger,
  freshId,
  Metrics,
  SeededRandom,
  SystemClock,
  writeToStandardOutput,
  type Clock,
  type Incarnation,
  type Logger,
} from "@rackspan/common";
import { LeaderElection } from "@rackspan/leadership";
import {
  storeClients,
  type KeyedRecord,
  type StoreClient,
  type TopicName,
} from "@rackspan/ports";
import { closeServer, listenOn, sendText } from "@rackspan/protocol";
import {
  ConfigHolder,
  configDecoders,
  JobView,
  StampedWriter,
  TopicFollower,
  TOPICS,
} from "@rackspan/state";
import { callerFronts, type CallerFront } from "./callerFronts.js";
import { JobDesk } from "./JobDesk.js";
import { Leadership } from "./Leadership.js";
import type { JobEntrySettings } from "./settings.js";
import { SideServer } from "./SideServer.js";

const MS_PER_SECOND = 1_000;

const ENTRY = {
  /** Of the time for a planned stop, this much is left for the end itself. */
  stopMarginMs: 700,
  /** Hosts join and leave rarely: their topic is polled less often. */
  hostsPollFloorMs: 250,
} as const;

export interface JobEntryProcessOptions {
  readonly settings: JobEntrySettings;
  readonly clock?: Clock;
  readonly logger?: Logger;
}

export class JobEntryProcess {
  private readonly settings: JobEntrySettings;
  private readonly clock: Clock;
  readonly logger: Logger;
  private readonly metrics = new Metrics();
  private readonly incarnation = freshId<Incarnation>();
  private readonly store: StoreClient;
  private readonly view: JobView;
  private readonly config: ConfigHolder;
  private readonly followers: readonly TopicFollower[];
  private readonly jobsFollower: TopicFollower;
  private readonly desk: JobDesk;
  private readonly leadership: Leadership;
  private readonly election: LeaderElection;
  private readonly sideServer: SideServer;
  private readonly front: CallerFront;
  private readonly metricsServer: Server;
  private stopping = false;
  private wasReady = false;

  constructor({ settings, clock, logger }: JobEntryProcessOptions) {
    this.settings = settings;
    this.clock = clock ?? new SystemClock();
    this.logger =
      logger ??
      createLogger({ level: settings.logLevel, write: writeToStandardOutput });
    const { client, store } = settings.platform;
    this.store = storeClients.create(client, { address: store });
    this.view = new JobView({ logger: this.logger, metrics: this.metrics });
    this.config = new ConfigHolder(
      configDecoders.create(client, {}),
      this.logger,
    );
    const { view } = this;
    this.jobsFollower = this.follow(TOPICS.jobs, (r) => view.takeJobs(r));
    const stateFollowers = [
      this.jobsFollower,
      this.follow(TOPICS.cancels, (r) => view.takeCancels(r)),
      this.follow(TOPICS.progress, (r) => view.takeProgress(r)),
      this.follow(TOPICS.hosts, (r) => view.takeHosts(r)),
    ];
    this.followers = [
      ...stateFollowers,
      this.follow(TOPICS.config, (r) => this.config.take(r)),
    ];
    const jobsWriter = this.writer(TOPICS.jobs);
    const cancelsWriter = this.writer(TOPICS.cancels);
    this.desk = new JobDesk({
      view,
      config: this.config,
      jobsFollower: this.jobsFollower,
      jobsWriter,
      cancelsWriter,
      clock: this.clock,
      logger: this.logger,
      metrics: this.metrics,
    });
    const { leases, scheduling, batching } = settings;
    const leadershipTtlMs = Math.max(
      leases.leadershipTtlMs,
      leases.leastLeadershipTtlMs,
    );
    this.leadership = new Leadership({
      store: this.store,
      view,
      config: this.config,
      followers: stateFollowers,
      jobsWriter,
      cancelsWriter,
      clock: this.clock,
      logger: this.logger,
      metrics: this.metrics,
      leadershipTtlMs,
      leaseMs: leases.workerLeaseMs,
      stopMs: leases.stopMs,
      keepEndedMs: settings.keepEndedSeconds * MS_PER_SECOND,
      progressGatherMs: batching.progressMs,
      order: scheduling.order,
      placer: scheduling.placer,
      mayDecide: () => this.election.leads,
      onDeposed: (reason) => void this.election.stepDown(reason),
    });
    this.election = new LeaderElection({
      membership: this.store,
      topic: TOPICS.leadership,
      self: {
        entry: settings.entry,
        incarnation: this.incarnation,
        address: `${settings.sides.address}:${settings.sides.port}`,
      },
      ttlMs: leadershipTtlMs,
      clock: this.clock,
      random: new SeededRandom(Date.now() ^ process.pid),
      logger: this.logger,
      onAcquired: (epoch) => this.leadership.begin(epoch),
      onLost: (reason) => {
        this.leadership.end();
        this.sideServer.disconnectAll(reason);
      },
    });
    this.sideServer = new SideServer({
      listen: settings.sides,
      leading: () => this.leadership.leading,
      clock: this.clock,
      logger: this.logger,
    });
    this.front = callerFronts.create(client, {
      listen: settings.callers,
      readiness: settings.readiness,
      isReady: () => this.isReady(),
      desk: this.desk,
      clock: this.clock,
      logger: this.logger,
      metrics: this.metrics,
    });
    this.metricsServer = createServer((_req, res) => {
      void this.metrics.render().then((text) => sendText(res, 200, text));
    });
  }

  async start(): Promise<void> {
    const { entry, metrics } = this.settings;
    for (const follower of this.followers) follower.start();
    await this.front.start();
    await this.sideServer.start();
    if (metrics) await listenOn(this.metricsServer, metrics);
    this.election.start();
    const { incarnation } = this;
    this.logger.info("entry.started", { entry, incarnation, pid: process.pid });
  }

  /** A planned stop: leadership is handed over, open requests are answered. */
  async shutDown(): Promise<void> {
    const { entry, graceSeconds } = this.settings;
    const graceMs = graceSeconds * MS_PER_SECOND;
    this.stopping = true;
    this.logger.info("entry.stopping", { entry });
    const handedOver = this.election.stop();
    await this.front.drain(graceMs - ENTRY.stopMarginMs);
    await handedOver;
    await this.front.stop();
    await this.sideServer.stop();
    await Promise.all(this.followers.map((follower) => follower.stop()));
    if (this.metricsServer.listening) await closeServer(this.metricsServer);
    this.store.close();
    this.logger.info("entry.stopped", { entry });
  }

  private isReady(): boolean {
    const ready = !this.stopping && this.desk.isReady;
    if (ready !== this.wasReady) {
      this.wasReady = ready;
      const { stopping } = this;
      const config = this.config.current?.version;
      this.logger.info("entry.readiness", { ready, stopping, config });
    }
    return ready;
  }

  private follow(
    topic: TopicName,
    onRecords: (records: readonly KeyedRecord[]) => void,
  ): TopicFollower {
    const { pollFloorMs } = this.settings.batching;
    return new TopicFollower({
      topic,
      store: this.store,
      clock: this.clock,
      logger: this.logger,
      floorMs: topic === TOPICS.hosts ? ENTRY.hostsPollFloorMs : pollFloorMs,
      onRecords,
    });
  }

  private writer(topic: TopicName): StampedWriter {
    return new StampedWriter({
      topic,
      store: this.store,
      clock: this.clock,
      logger: this.logger,
      producer: `${this.settings.entry}/${this.incarnation}`,
      epoch: 1,
      gatherMs: this.settings.batching.submitMs,
      retriesRefused: false,
    });
  }
}
