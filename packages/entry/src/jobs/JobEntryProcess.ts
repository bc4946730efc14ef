/** The entry process for jobs: serves callers, and schedules jobs while it is the leader. */

import {
  createLogger,
  freshId,
  Metrics,
  MS_PER_SECOND,
  SystemClock,
  writeToStandardOutput,
  type Clock,
  type Incarnation,
  type Logger,
} from "@rackspan/common";
import { MetricsServer } from "@rackspan/protocol";
import {
  affordablePolicy,
  availableProcessors,
  type JobEntrySettings,
} from "./settings.js";
import {
  createJobEntryParts,
  type JobEntryParts,
} from "./createJobEntryParts.js";

/** Part of the grace period that is reserved for closing listeners and followers. */
const STOP_MARGIN_MS = 700;

export interface JobEntryProcessOptions {
  readonly settings: JobEntrySettings;
  readonly clock?: Clock;
  readonly logger?: Logger;
}

export class JobEntryProcess {
  readonly logger: Logger;
  private readonly settings: JobEntrySettings;
  private readonly incarnation = freshId<Incarnation>();
  private readonly parts: JobEntryParts;
  private readonly metricsServer: MetricsServer;
  private stopping = false;
  private wasReady = false;

  constructor({ settings, clock, logger }: JobEntryProcessOptions) {
    this.settings = settings;
    this.logger =
      logger ??
      createLogger({ level: settings.logLevel, write: writeToStandardOutput });
    const metrics = new Metrics();
    this.parts = createJobEntryParts({
      settings,
      clock: clock ?? new SystemClock(),
      logger: this.logger,
      metrics,
      incarnation: this.incarnation,
      isReady: () => this.isReady(),
    });
    this.metricsServer = new MetricsServer({
      metrics,
      listen: settings.metrics,
    });
  }

  async start(): Promise<void> {
    const { followers, callerFront, sideServer, election } = this.parts;
    for (const follower of followers) follower.start();
    await callerFront.start();
    await sideServer.start();
    await this.metricsServer.start();
    election.start();
    this.parts.forwarding?.start();
    const { incarnation } = this;
    const { entry } = this.settings;
    this.logger.info("entry.started", {
      entry,
      incarnation,
      pid: process.pid,
      processors: availableProcessors(this.settings),
      recordsPlacements: affordablePolicy(this.settings).recordsPlacements,
    });
  }

  /** Planned stop: gives up leadership and answers open requests. */
  async shutDown(): Promise<void> {
    const { entry, graceSeconds } = this.settings;
    const { store, followers, callerFront, sideServer, election } = this.parts;
    const graceMs = graceSeconds * MS_PER_SECOND;
    this.stopping = true;
    this.logger.info("entry.stopping", { entry });
    const handedOver = election.stop();
    await callerFront.drain(graceMs - STOP_MARGIN_MS);
    await handedOver;
    await callerFront.stop();
    await this.parts.forwarding?.stop();
    await sideServer.stop();
    await Promise.all(followers.map((follower) => follower.stop()));
    await this.metricsServer.stop();
    store.close();
    this.logger.info("entry.stopped", { entry });
  }

  private isReady(): boolean {
    const { jobService, config } = this.parts;
    const { isReady, isStoreReachable: reachesStore } = jobService;
    const ready = !this.stopping && isReady && reachesStore;
    if (ready !== this.wasReady) {
      this.wasReady = ready;
      const { stopping } = this;
      const version = config.current?.version;
      this.logger.info("entry.readiness", {
        ready,
        stopping,
        reachesStore,
        config: version,
      });
    }
    return ready;
  }
}
