/** Wires the side process of a host whose worker runs tasks of jobs. */

import {
  createLogger,
  Metrics,
  splitAddress,
  SystemClock,
  writeToStandardOutput,
  type Clock,
  type Logger,
} from "@rackspan/common";
import { maxUnattendedLeaseMs } from "@rackspan/leadership";
import {
  storeClients,
  taskHostClients,
  type StoreClient,
  type TaskHost,
} from "@rackspan/ports";
import { MetricsServer } from "@rackspan/protocol";
import { TOPICS } from "@rackspan/state";
import { FencedTaskHost } from "./FencedTaskHost.js";
import { LeaderFinder } from "./LeaderFinder.js";
import { LeaderClient } from "./LeaderClient.js";
import { Pacer } from "./Pacer.js";
import type { JobSideSettings } from "./settings.js";
import { TaskOrderHandler } from "./TaskOrderHandler.js";
import { workerInboxes, type WorkerInbox } from "./workerInboxes.js";
import { WorkerRegistry } from "./WorkerRegistry.js";
import { WorkerPoller } from "./WorkerPoller.js";

const SIDE = {
  /** Timeout of one call to the worker, which is on this host; the call is then repeated. */
  workerCallTimeoutMs: 400,
  /** Time within which a replacement of this process has attached and renews the lease. */
  restartMs: 3_000,
  /** Share of the time for a planned stop within which a leader must record that the worker left. */
  deregistrationShare: 0.6,
} as const;

const MS_PER_SECOND = 1_000;

export interface JobSideProcessOptions {
  readonly settings: JobSideSettings;
  readonly clock?: Clock;
  readonly logger?: Logger;
}

export class JobSideProcess {
  readonly logger: Logger;
  private readonly store: StoreClient;
  private readonly poller: WorkerPoller;
  private readonly link: LeaderClient;
  private readonly inbox: WorkerInbox;
  private readonly metricsServer: MetricsServer;

  constructor(private readonly options: JobSideProcessOptions) {
    const { settings } = options;
    const clock = options.clock ?? new SystemClock();
    this.logger =
      options.logger ??
      createLogger({ level: settings.logLevel, write: writeToStandardOutput });
    const { logger } = this;
    const metrics = new Metrics();
    const { client, store: address } = settings.platform;
    this.store = storeClients.create(client, { address });
    const host = buildHost(settings, clock);
    const base = { clock, logger, metrics };
    const { service } = settings.worker;
    const registry = new WorkerRegistry(clock, logger, service);
    const pacer = new Pacer({ host, ...base, ...settings.pacing });
    const poller = new WorkerPoller({
      registry,
      host,
      pacer,
      clock,
      logger,
      unattendedLeaseMs: maxUnattendedLeaseMs({
        minMs: SIDE.restartMs,
        outOfTouchMs: settings.leases.outOfTouchMs,
        cancelMs: settings.leases.cancelMs,
        stopMs: settings.leases.stopMs,
        lastingGapMs: settings.leases.lastingGapMs,
      }),
      longestLeaseMs: settings.leases.longestMs ?? Infinity,
    });
    const orders = new TaskOrderHandler({
      host,
      registry,
      poller,
      pacer,
      ...base,
    });
    this.poller = poller;
    this.link = new LeaderClient({
      host: settings.host,
      availabilityZone: settings.availabilityZone,
      finder: buildFinder(settings, this.store, base),
      registry,
      poller,
      orders,
      pacer,
      clock,
      logger,
      deregistrationTimeoutMs:
        SIDE.deregistrationShare * settings.graceSeconds * MS_PER_SECOND,
    });
    this.inbox = workerInboxes.create(client, {
      ...settings.inbox,
      registry,
      logger,
    });
    this.metricsServer = new MetricsServer({
      metrics,
      listen: settings.metrics,
    });
  }

  async start(): Promise<void> {
    const { settings } = this.options;
    await this.inbox.start();
    await this.metricsServer.start();
    this.poller.start();
    this.link.start();
    this.logger.info("side.started", { host: settings.host, pid: process.pid });
  }

  /** Planned stop: tasks continue at the worker until their lease expires. */
  async shutDown(): Promise<void> {
    this.logger.info("side.stopping", { host: this.options.settings.host });
    await this.link.stop();
    await this.poller.stop();
    await this.inbox.stop();
    await this.metricsServer.stop();
    this.store.close();
    this.logger.info("side.stopped", { host: this.options.settings.host });
  }
}

const buildHost = (
  { platform, worker }: JobSideSettings,
  clock: Clock,
): TaskHost => {
  const { address, fencesLives } = worker;
  const callTimeoutMs = SIDE.workerCallTimeoutMs;
  const host = taskHostClients.create(platform.client, {
    address,
    callTimeoutMs,
  });
  return fencesLives ? new FencedTaskHost({ host, clock }) : host;
};

/** Replaces the ports of the configured entries by the port that sides connect to. */
const buildFinder = (
  { entries, entryPort }: JobSideSettings,
  membership: StoreClient,
  { clock, logger }: { readonly clock: Clock; readonly logger: Logger },
): LeaderFinder =>
  new LeaderFinder({
    membership,
    topic: TOPICS.leadership,
    knownEntries: entries.map(
      (entry) => `${splitAddress(entry).address}:${entryPort}`,
    ),
    clock,
    logger,
  });
