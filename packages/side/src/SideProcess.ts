/** Wires the parts of the side process of one endpoint host, and their lifecycle. */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import {
  createLogger,
  freshId,
  Metrics,
  sleep,
  SystemClock,
  type Clock,
  type Incarnation,
  type Logger,
} from "@rackspan/common";
import { Lifecycle } from "@rackspan/kernel";
import { workers, type Worker } from "@rackspan/ports";
import {
  addressOf,
  closeServer,
  HEADER,
  listenOn,
  RPC_PATH,
  RpcServer,
  sendText,
  SIDE_METHODS,
} from "@rackspan/protocol";
import { AdmissionGate } from "./AdmissionGate.js";
import { Commitments } from "./Commitments.js";
import { RequestFences } from "./RequestFences.js";
import { RequestHandler } from "./RequestHandler.js";
import type { SideSettings } from "./settings.js";
import { createSideHandlers } from "./sideHandlers.js";
import { StatusPublisher } from "./StatusPublisher.js";
import { TaskSupervisor } from "./TaskSupervisor.js";

export interface SideProcessOptions {
  readonly settings: SideSettings;
  readonly clock?: Clock;
  readonly worker?: Worker;
  readonly logger?: Logger;
}

const DRAIN_POLL_MS = 20;
const KEEP_ALIVE_MS = 60_000;

export class SideProcess {
  readonly incarnation = freshId<Incarnation>();
  readonly metrics = new Metrics();
  readonly commitments: Commitments;
  readonly tasks: TaskSupervisor;
  readonly gate: AdmissionGate;
  private readonly handler: RequestHandler;
  private readonly statusPublisher: StatusPublisher;
  private readonly lifecycle: Lifecycle;
  private readonly server: Server;
  private readonly rpc: RpcServer<typeof SIDE_METHODS>;
  private readonly stopped = new AbortController();
  private readonly clock: Clock;

  constructor(private readonly options: SideProcessOptions) {
    const { settings } = options;
    const { host } = settings;
    const clock = options.clock ?? new SystemClock();
    this.clock = clock;
    const base = options.logger ?? createLogger({ level: settings.logLevel });
    const logger = base.with({ role: "side", host });
    const { metrics, incarnation } = this;
    const worker =
      options.worker ?? workers.create(settings.worker.client, settings.worker);
    const { reservationTtlMs, leaseMs, renewEveryMs } = settings.tasks;
    this.commitments = new Commitments({ clock, reservationTtlMs });
    const { commitments } = this;
    const shared = { clock, metrics, logger, incarnation };
    this.tasks = new TaskSupervisor({
      ...shared,
      worker,
      commitments,
      leaseMs,
      renewEveryMs,
    });
    this.gate = new AdmissionGate({ clock, ...settings.admission });
    const { tasks, gate } = this;
    const fences = new RequestFences(clock, settings.limits.fencesKept);
    this.handler = new RequestHandler({ ...shared, tasks, gate, fences });
    this.statusPublisher = new StatusPublisher({
      settings,
      incarnation,
      tasks,
      commitments,
      gate,
      clock,
    });
    this.rpc = new RpcServer(
      SIDE_METHODS,
      createSideHandlers({
        ...shared,
        tasks,
        commitments,
        fences,
        settings,
        statusPublisher: this.statusPublisher,
      }),
    );
    this.server = this.createServer();
    this.lifecycle = this.createLifecycle(logger);
  }

  /** Starts the process, which admits work once the worker has listed its tasks. */
  start(): Promise<void> {
    return this.lifecycle.start();
  }

  /** Planned stop: requests in progress are completed, tasks continue under their leases. */
  shutDown(): Promise<void> {
    return this.lifecycle.shutDown();
  }

  /** Stops at once without draining, like a killed process. */
  kill(): Promise<void> {
    return this.lifecycle.kill();
  }

  /** `IP:PORT` at which entries call this side. */
  get address(): string {
    return addressOf(this.server);
  }

  private createServer(): Server {
    const { maxHeaderBytes } = this.options.settings.limits;
    const server = createServer(
      { maxHeaderSize: maxHeaderBytes },
      (req, res) => {
        res.on("error", () => undefined);
        void this.serve(req, res);
      },
    );
    server.keepAliveTimeout = KEEP_ALIVE_MS;
    server.on("upgrade", (req, socket, head) =>
      this.handler.handleUpgrade(req, socket, head),
    );
    return server;
  }

  private async serve(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    if (req.headers[HEADER.SERVICE] !== undefined)
      return this.handler.handle(req, res);
    switch (req.url) {
      case RPC_PATH:
        return this.rpc.handle(req, res);
      case "/livez":
        return sendText(res, 200, "live\n");
      case "/readyz":
        return this.tasks.ready && this.lifecycle.state === "running"
          ? sendText(res, 200, "ready\n")
          : sendText(res, 503, `${this.lifecycle.state}\n`);
      case "/metrics":
        this.publishGauges();
        return sendText(res, 200, await this.metrics.render());
      default:
        return sendText(res, 404, "not found\n");
    }
  }

  private publishGauges(): void {
    const { free, total } = this.commitments;
    this.metrics.gauge("free_processors", free.processors);
    this.metrics.gauge("capacity_processors", total.processors);
    this.metrics.gauge("busy_slots", this.gate.busySlots);
    this.metrics.gauge("open_connections", this.gate.openConnections);
    this.metrics.gauge("held_tasks", this.tasks.list().length);
  }

  private createLifecycle(logger: Logger): Lifecycle {
    const { signal } = this.stopped;
    let renewing: Promise<void> = Promise.resolve();
    return new Lifecycle(
      [
        {
          name: "tasks",
          start: async () => {
            void this.tasks
              .adopt(signal)
              .then(() => (renewing = this.tasks.renewLeases(signal)))
              .catch(() => undefined);
          },
          stop: async () => {
            this.stopped.abort();
            await renewing;
          },
        },
        {
          name: "server",
          start: () => listenOn(this.server, this.options.settings.listen),
          drain: () => this.drain(),
          stop: () => this.close(),
        },
      ],
      logger,
    );
  }

  /** Notifies the entries, then refuses new requests, then waits for those in progress. */
  private async drain(): Promise<void> {
    const { noticeMs, limitMs } = this.options.settings.drain;
    this.statusPublisher.startLeaving();
    await sleep(this.clock, noticeMs);
    this.handler.isRefusing = true;
    const end = this.clock.monotonic() + limitMs;
    while (this.gate.openConnections > this.handler.openWatches) {
      await sleep(this.clock, DRAIN_POLL_MS);
    }
    while (this.handler.openWatches > 0 && this.clock.monotonic() < end) {
      await sleep(this.clock, DRAIN_POLL_MS);
    }
    this.handler.closeWatches();
  }

  private async close(): Promise<void> {
    this.statusPublisher.close();
    this.handler.closeWatches();
    this.handler.close();
    await closeServer(this.server);
  }
}
