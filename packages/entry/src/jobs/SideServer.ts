/**
 * Accepts connections of sides, and of other entries. Only the leading entry lets sides
 * attach.
 */

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
import { NotServingPeersError } from "./forwarding/NotServingPeersError.js";
import { peerMethods } from "./forwarding/peerMethods.js";
import type { PeerHandlers } from "./forwarding/PeerRequestHandler.js";
import type { ActiveTerm } from "./Leadership.js";

const SIDE_SERVER = {
  /** Silence after which a connection is closed; sides report at least twice a second. */
  idleTimeoutMs: 4_000,
  maxConnections: 2_000,
  /** How long to wait until the store persists a worker's end; the side retries after that. */
  persistTimeoutMs: 700,
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
      what: `the store does not keep yet that worker ${instance} is over`,
      remedy: "say it again after a pause, to the entry that leads then",
    });
  }
}

const servedMethods = { ...leaderMethods, ...peerMethods };

type SideConnection = JsonRpcConnection<
  typeof servedMethods,
  typeof hostMethods
>;

export interface SideServerOptions {
  readonly listen: ListenAddress;
  readonly activeTerm: () => ActiveTerm | undefined;
  /** Serves the calls of other entries; undefined if they are refused. */
  readonly peerHandlers?: (() => PeerHandlers) | undefined;
  readonly clock: Clock;
  readonly logger: Logger;
}

export class SideServer {
  private readonly server: Server;
  private readonly sessions = new Set<SideSession>();
  /** The most recently attached session of each host. */
  private readonly byHost = new Map<HostId, SideSession>();

  constructor(private readonly options: SideServerOptions) {
    this.server = createServer((socket) => this.accept(socket));
    this.server.maxConnections = SIDE_SERVER.maxConnections;
  }

  start(): Promise<void> {
    const { logger } = this.options;
    // For example too many open files; later connections may succeed.
    this.server.on("error", (err) =>
      logger.error("sides.listener-failed", { error: describeError(err) }),
    );
    return listenOn(this.server, this.options.listen);
  }

  /**
   * Closes the connections of all sides, so that they search for the next leader at
   * once. Those of other entries stay open: their requests do not depend on who leads.
   */
  disconnectAll(reason: string): void {
    for (const session of this.sessions) {
      if (!session.isPeer) session.close(reason);
    }
  }

  stop(): Promise<void> {
    for (const session of this.sessions) session.close("stopping");
    return new Promise((resolve) => this.server.close(() => resolve()));
  }

  private accept(socket: Socket): void {
    const session = new SideSession(socket, {
      ...this.options,
      onAttach: (host) => this.closePrevious(host, session),
    });
    this.sessions.add(session);
    void session.closed.then(() => this.remove(session));
  }

  /**
   * Closes the host's previous connection: late messages over a connection that its side
   * has abandoned may concern a previous incarnation of the worker. If attach requests
   * arrived out of order, this closes the connection in use, and its side attaches again.
   */
  private closePrevious(host: HostId, session: SideSession): void {
    const previous = this.byHost.get(host);
    this.byHost.set(host, session);
    if (previous !== session)
      previous?.close("the host attached over another connection");
  }

  private remove(session: SideSession): void {
    this.sessions.delete(session);
    const { host } = session;
    if (host !== undefined && this.byHost.get(host) === session) {
      this.byHost.delete(host);
    }
  }
}

interface SideSessionOptions extends SideServerOptions {
  /** Called when the host has attached over this connection. */
  readonly onAttach: (host: HostId) => void;
}

/** One connected side, or another entry. */
class SideSession implements HostSession {
  readonly closed: Promise<void>;
  private hasPeerCalled = false;
  private readonly connection: SideConnection;
  private attachment: Attachment | undefined;

  constructor(
    socket: Socket,
    private readonly options: SideSessionOptions,
  ) {
    const { clock, logger } = options;
    this.connection = new JsonRpcConnection({
      socket,
      servedMethods,
      calledMethods: hostMethods,
      handlers: {
        attach: ({ host, availabilityZone }) =>
          this.attach(host, availabilityZone),
        report: (report) => {
          const { host, zone, term } = this.requireAttachment();
          return term.engine.handleReport(host, zone, report);
        },
        workerGone: async ({ instance, lostRuns, unheardEnds }) => {
          const { host, term } = this.requireAttachment();
          const { engine } = term;
          const persisted = engine.handleWorkerGone(
            host,
            instance,
            lostRuns,
            unheardEnds,
          );
          const timedOut = sleep(clock, SIDE_SERVER.persistTimeoutMs).then(
            () => false,
          );
          if (await Promise.race([persisted, timedOut])) return {};
          throw new WorkerEndNotPersistedError(instance);
        },
        workerSilent: ({ overInMs, neverBegun }) => {
          const { host, term } = this.requireAttachment();
          const { engine } = term;
          const grants = engine.handleWorkerSilent(host, overInMs, neverBegun);
          return { grants };
        },
        ping: () => ({}),
        announce: (call) => this.requirePeerHandlers().announce(call),
        forward: (call) => this.requirePeerHandlers().forward(call),
      },
      idleTimeoutMs: SIDE_SERVER.idleTimeoutMs,
      clock,
      logger,
    });
    this.closed = this.connection.closed.then((reason) => this.detach(reason));
  }

  /** The host that has attached over this connection, if any. */
  get host(): HostId | undefined {
    return this.attachment?.host;
  }

  /** Whether only another entry uses this connection, and no host. */
  get isPeer(): boolean {
    return this.hasPeerCalled && !this.attachment;
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
    const activeTerm = this.options.activeTerm();
    if (!activeTerm) throw new NotLeadingError();
    this.attachment = { host, zone, term: activeTerm };
    activeTerm.engine.attach(host, this);
    this.options.onAttach(host);
    this.options.logger.info("host.attached", {
      host,
      epoch: activeTerm.epoch,
    });
    return { epoch: activeTerm.epoch };
  }

  /**
   * The host's attachment, which calls other than `attach` require.
   *
   * @throws NotLeadingError if the entry no longer leads, leads under another epoch, or
   *   if the connection was closed while the call was in flight
   */
  private requireAttachment(): Attachment {
    const { attachment } = this;
    const activeTerm = this.options.activeTerm();
    const isSameTerm = activeTerm?.engine === attachment?.term.engine;
    if (!attachment || !isSameTerm || !this.connection.isOpen) {
      throw new NotLeadingError();
    }
    return attachment;
  }

  /** @throws NotServingPeersError if the settings do not let this entry serve others */
  private requirePeerHandlers(): PeerHandlers {
    const { peerHandlers } = this.options;
    if (!peerHandlers) throw new NotServingPeersError();
    this.hasPeerCalled = true;
    return peerHandlers();
  }

  private detach(reason: string): void {
    if (!this.attachment) return;
    const { host, term } = this.attachment;
    term.engine.detach(host, this);
    this.options.logger.warn("host.detached", { host, reason });
  }
}

interface Attachment {
  readonly host: HostId;
  readonly zone: AvailabilityZone;
  readonly term: ActiveTerm;
}
