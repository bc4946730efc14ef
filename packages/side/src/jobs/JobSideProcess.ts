/** The side process of a host whose worker runs the tasks of jobs. */

import { createServer, type Server } from "node:http";
import {
  createLogger,
  Metrics,
  SystemClock,
  writeToStandardOutput,
  type Clock,
  type Logger,
} from "@rackspan/common";
import {
  storeClients,
  taskHostClients,
  type StoreClient,
} from "@rackspan/ports";
import { closeServer, listenOn, sendText } from "@rackspan/protocol";
import { TOPICS } from "@rackspan/state";
import { LeaderFinder } from "./LeaderFinder.js";
import { LeaderLink } from "./LeaderLink.js";
import { Pacer } from "./Pacer.js";
import type { JobSideSettings } from "./settings.js";
import { TaskOrders } from "./TaskOrders.js";
import { workerInboxes, type WorkerInbox } from "./workerInboxes.js";
import { WorkerRegistry } from "./WorkerRegistry.js";
import { WorkerWatch } from "./WorkerWatch.js";

const SIDE = {
  /** A call to the worker, which is on this host, is repeated after this. */
  workerCallTimeoutMs: 400,
} as const;

export interface JobSideProcessOptions {
  readonly settings: JobSideSettings;
  readonly clock?: Clock;
  readonly logger?: Logger;
}

export class JobSideProcess {
  readonly logger: Logger;
  private readonly metrics = new Metrics();
  private readonly store: StoreClient;
  private readonly watch: WorkerWatch;
  private readonly link: LeaderLink;
  private readonly inbox: WorkerInbox;
  private readonly metricsServer: Server;

  constructor(private readonly options: JobSideProcessOptions) {
    const { settings } = options;
    const clock = options.clock ?? new SystemClock();
    this.logger =
      options.logger ??
      createLogger({ level: settings.logLevel, write: writeToStandardOutput });
    const { logger, metrics } = this;
    const { client } = settings.platform;
    this.store = storeClients.create(client, {
      address: settings.platform.store,
    });
    const host = taskHostClients.create(client, {
      address: settings.worker.address,
      callTimeoutMs: SIDE.workerCallTimeoutMs,
    });
    const registry = new WorkerRegistry(clock, logger);
    const pacer = new Pacer({ host, logger, metrics });
    const watch = new WorkerWatch({ registry, host, pacer, clock, logger });
    const orders = new TaskOrders({
      host,
      registry,
      watch,
      pacer,
      clock,
      logger,
      metrics,
    });
    const finder = new LeaderFinder({
      membership: this.store,
      topic: TOPICS.leadership,
      knownEntries: settings.entries.map((entry) =>
        withPort(entry, settings.entryPort),
      ),
      clock,
      logger,
    });
    this.watch = watch;
    this.link = new LeaderLink({
      host: settings.host,
      availabilityZone: settings.availabilityZone,
      finder,
      registry,
      watch,
      orders,
      pacer,
      clock,
      logger,
    });
    this.inbox = workerInboxes.create(client, {
      ...settings.inbox,
      registry,
      logger,
    });
    this.metricsServer = createServer((_req, res) => {
      void metrics.render().then((text) => sendText(res, 200, text));
    });
  }

  async start(): Promise<void> {
    const { settings } = this.options;
    await this.inbox.start();
    if (settings.metrics) await listenOn(this.metricsServer, settings.metrics);
    this.watch.start();
    this.link.start();
    this.logger.info("side.started", { host: settings.host, pid: process.pid });
  }

  /** A planned stop: tasks go on at the worker until their lease is over. */
  async shutDown(): Promise<void> {
    this.logger.info("side.stopping", { host: this.options.settings.host });
    await this.link.stop();
    await this.watch.stop();
    await this.inbox.stop();
    if (this.metricsServer.listening) await closeServer(this.metricsServer);
    this.store.close();
    this.logger.info("side.stopped", { host: this.options.settings.host });
  }
}

const withPort = (address: string, port: number): string =>
  `${address.slice(0, address.lastIndexOf(":"))}:${port}`;
