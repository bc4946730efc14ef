/** Takes the connections of sides; only the entry that leads lets them attach. */

import { createServer, type Server, type Socket } from "node:net";
import {
  describeError,
  RackspanError,
  type AvailabilityZone,
  type Clock,
  type HostId,
  type ListenAddress,
  type Logger,
  type WorkerInstance,
} from "@rackspan/common";
import type { TaskDescription } from "@rackspan/jobs";
import {
  hostMethods,
  leaderMethods,
  LineConnection,
  listenOn,
  type HostCallResult,
  type StartTaskCall,
  type StopTaskCall,
} from "@rackspan/protocol";
import { ENGINE, type HostSession } from "@rackspan/scheduling";
import type { LeadingEngine } from "./Leadership.js";

const SERVER = {
  /** Sides report at least twice a second; longer silence ends the connection. */
  silenceMs: 4_000,
  maxConnections: 2_000,
} as const;

export class NotLeadingError extends RackspanError {
  readonly kind = "not-leading";
  constructor() {
    super({
      what: "this entry does not lead",
      remedy: "ask the store which entry does",
    });
  }
}

type SideConnection = LineConnection<typeof leaderMethods, typeof hostMethods>;

export interface SideServerOptions {
  readonly listen: ListenAddress;
  readonly leading: () => LeadingEngine | undefined;
  readonly clock: Clock;
  readonly logger: Logger;
}

export class SideServer {
  private readonly server: Server;
  private readonly peers = new Set<SidePeer>();

  constructor(private readonly options: SideServerOptions) {
    this.server = createServer((socket) => this.accept(socket));
    this.server.maxConnections = SERVER.maxConnections;
  }

  start(): Promise<void> {
    const { logger } = this.options;
    // Such as too many open files; later connections may work again.
    this.server.on("error", (err) =>
      logger.error("sides.listener-failed", { error: describeError(err) }),
    );
    return listenOn(this.server, this.options.listen);
  }

  /** Closes all connections, so that sides look for the next leader at once. */
  disconnectAll(reason: string): void {
    for (const peer of this.peers) peer.close(reason);
  }

  stop(): Promise<void> {
    this.disconnectAll("stopping");
    return new Promise((resolve) => this.server.close(() => resolve()));
  }

  private accept(socket: Socket): void {
    const peer = new SidePeer(socket, this.options);
    this.peers.add(peer);
    void peer.closed.then(() => this.peers.delete(peer));
  }
}

/** One connected side. */
class SidePeer implements HostSession {
  readonly closed: Promise<void>;
  private readonly connection: SideConnection;
  private attached: Attached | undefined;

  constructor(
    socket: Socket,
    private readonly options: SideServerOptions,
  ) {
    const { clock, logger } = options;
    this.connection = new LineConnection({
      socket,
      serves: leaderMethods,
      calls: hostMethods,
      handlers: {
        attach: ({ host, availabilityZone }) =>
          this.attach(host, availabilityZone),
        report: (report) => {
          const { host, zone, leading } = this.current();
          return leading.engine.report(host, zone, report);
        },
        workerGone: ({ instance }) => {
          const { host, leading } = this.current();
          leading.engine.noteWorkerGone(host, instance);
          return {};
        },
        ping: () => ({}),
      },
      silenceMs: SERVER.silenceMs,
      clock,
      logger,
    });
    this.closed = this.connection.closed.then((reason) => this.detach(reason));
  }

  close(reason: string): void {
    this.connection.close(reason);
  }

  startTask(call: StartTaskCall): Promise<HostCallResult> {
    return this.connection.call("startTask", call, ENGINE.orderTimeoutMs);
  }

  stopTask(call: StopTaskCall): Promise<HostCallResult> {
    return this.connection.call("stopTask", call, ENGINE.orderTimeoutMs);
  }

  acknowledge(instance: WorkerInstance, acknowledged: number): void {
    this.connection.notify("acknowledge", { instance, acknowledged });
  }

  describe(tasks: readonly TaskDescription[]): void {
    this.connection.notify("describe", { tasks: [...tasks] });
  }

  private attach(
    host: HostId,
    zone: AvailabilityZone,
  ): { epoch: LeadingEngine["epoch"] } {
    const leading = this.options.leading();
    if (!leading) throw new NotLeadingError();
    this.attached = { host, zone, leading };
    leading.engine.attach(host, this);
    this.options.logger.info("host.attached", { host, epoch: leading.epoch });
    return { epoch: leading.epoch };
  }

  /** @throws NotLeadingError when the entry leads no more, or under another epoch */
  private current(): Attached {
    const { attached } = this;
    const leading = this.options.leading();
    if (!attached || leading?.engine !== attached.leading.engine) {
      throw new NotLeadingError();
    }
    return attached;
  }

  private detach(reason: string): void {
    if (!this.attached) return;
    const { host, leading } = this.attached;
    leading.engine.detach(host, this);
    this.options.logger.warn("host.detached", { host, reason });
  }
}

interface Attached {
  readonly host: HostId;
  readonly zone: AvailabilityZone;
  readonly leading: LeadingEngine;
}
