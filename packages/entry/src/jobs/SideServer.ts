/** Accepts connections of sides; only the leading entry lets them attach. */

import { createServer, type Server, type Socket } from "node:net";
import {
  describeError,
  RackspanError,
  sleep,
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
  JsonRpcConnection,
  listenOn,
  type HostCallResult,
  type StartTaskCall,
  type StopTaskCall,
} from "@rackspan/protocol";
import { ENGINE, type HostSession } from "@rackspan/scheduling";
import type { ActiveTerm } from "./Leadership.js";

const SERVER = {
  /** Silence after which a connection is closed; sides report at least twice a second. */
  silenceMs: 4_000,
  maxConnections: 2_000,
  /** How long to wait until the store persists a worker's end; the side retries after that. */
  noteMs: 700,
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

/**
 * The end of a worker is not persisted yet, so the next leader could still wait for the
 * worker's leases.
 */
export class WorkerEndNotPersistedError extends RackspanError {
  readonly kind = "not-noted";
  constructor(instance: WorkerInstance) {
    super({
      what: `the end of worker ${instance} is not persisted in the store yet`,
      remedy: "report it again after a pause, to the entry that leads then",
    });
  }
}

type SideConnection = JsonRpcConnection<
  typeof leaderMethods,
  typeof hostMethods
>;

export interface SideServerOptions {
  readonly listen: ListenAddress;
  readonly activeTerm: () => ActiveTerm | undefined;
  readonly clock: Clock;
  readonly logger: Logger;
}

export class SideServer {
  private readonly server: Server;
  private readonly peers = new Set<SideSession>();
  /** The most recently attached session of each host. */
  private readonly byHost = new Map<HostId, SideSession>();

  constructor(private readonly options: SideServerOptions) {
    this.server = createServer((socket) => this.accept(socket));
    this.server.maxConnections = SERVER.maxConnections;
  }

  start(): Promise<void> {
    const { logger } = this.options;
    // For example too many open files; later connections may succeed.
    this.server.on("error", (err) =>
      logger.error("sides.listener-failed", { error: describeError(err) }),
    );
    return listenOn(this.server, this.options.listen);
  }

  /** Closes all connections, so that sides search for the next leader at once. */
  disconnectAll(reason: string): void {
    for (const peer of this.peers) peer.close(reason);
  }

  stop(): Promise<void> {
    this.disconnectAll("stopping");
    return new Promise((resolve) => this.server.close(() => resolve()));
  }

  private accept(socket: Socket): void {
    const peer = new SideSession(socket, {
      ...this.options,
      onAttach: (host) => this.replaceFormer(host, peer),
    });
    this.peers.add(peer);
    void peer.closed.then(() => this.drop(peer));
  }

  /**
   * Closes the host's previous connection: late messages over a connection that its side
   * has abandoned may concern a previous incarnation of the worker. If attach requests
   * arrived out of order, this closes the connection in use, and its side attaches again.
   */
  private replaceFormer(host: HostId, peer: SideSession): void {
    const former = this.byHost.get(host);
    this.byHost.set(host, peer);
    if (former !== peer)
      former?.close("the host attached over another connection");
  }

  private drop(peer: SideSession): void {
    this.peers.delete(peer);
    const { host } = peer;
    if (host !== undefined && this.byHost.get(host) === peer) {
      this.byHost.delete(host);
    }
  }
}

interface SideSessionOptions extends SideServerOptions {
  /** Called when the host has attached over this connection. */
  readonly onAttach: (host: HostId) => void;
}

/** One connected side. */
class SideSession implements HostSession {
  readonly closed: Promise<void>;
  private readonly connection: SideConnection;
  private attached: Attached | undefined;

  constructor(
    socket: Socket,
    private readonly options: SideSessionOptions,
  ) {
    const { clock, logger } = options;
    this.connection = new JsonRpcConnection({
      socket,
      servedMethods: leaderMethods,
      calledMethods: hostMethods,
      handlers: {
        attach: ({ host, availabilityZone }) =>
          this.attach(host, availabilityZone),
        report: (report) => {
          const { host, zone, leading } = this.current();
          return leading.engine.handleReport(host, zone, report);
        },
        workerGone: async ({ instance, lostRuns, unheardEnds }) => {
          const { host, leading } = this.current();
          const { engine } = leading;
          const noted = engine.handleWorkerGone(
            host,
            instance,
            lostRuns,
            unheardEnds,
          );
          const tooLate = sleep(clock, SERVER.noteMs).then(() => false);
          if (await Promise.race([noted, tooLate])) return {};
          throw new WorkerEndNotPersistedError(instance);
        },
        workerSilent: ({ overInMs, neverBegun }) => {
          const { host, leading } = this.current();
          const { engine } = leading;
          const grants = engine.handleWorkerSilent(host, overInMs, neverBegun);
          return { grants };
        },
        ping: () => ({}),
      },
      idleTimeoutMs: SERVER.silenceMs,
      clock,
      logger,
    });
    this.closed = this.connection.closed.then((reason) => this.detach(reason));
  }

  /** The host that has attached over this connection, if any. */
  get host(): HostId | undefined {
    return this.attached?.host;
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
  ): { epoch: ActiveTerm["epoch"] } {
    const leading = this.options.activeTerm();
    if (!leading) throw new NotLeadingError();
    this.attached = { host, zone, leading };
    leading.engine.attach(host, this);
    this.options.onAttach(host);
    this.options.logger.info("host.attached", { host, epoch: leading.epoch });
    return { epoch: leading.epoch };
  }

  /**
   * @throws NotLeadingError if the entry no longer leads, leads under another epoch, or
   *   if the connection was closed while the call was in flight
   */
  private current(): Attached {
    const { attached } = this;
    const leading = this.options.activeTerm();
    const isSame = leading?.engine === attached?.leading.engine;
    if (!attached || !isSame || !this.connection.isOpen) {
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
  readonly leading: ActiveTerm;
}
