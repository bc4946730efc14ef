/** Connections to other entries, on the port on which they listen for sides. */

import { connect, type Socket } from "node:net";
import { splitAddress, type Clock, type Logger } from "@rackspan/common";
import {
  ConnectError,
  JsonRpcConnection,
  LostAnswerError,
  type ParamsOf,
  type ResultOf,
} from "@rackspan/protocol";
import { peerMethods } from "./peerMethods.js";

const CONNECTIONS = {
  /** A machine that can be reached accepts a connection within some milliseconds. */
  connectTimeoutMs: 300,
  /**
   * Silence after which a connection is closed; the leader is called every second. Less
   * than the other end's 4 s (SIDE_SERVER.idleTimeoutMs), so that no call is sent while
   * the other end closes the connection, and no less than the longest call.
   */
  idleTimeoutMs: 3_000,
} as const;

type NoMethods = Record<never, never>;
type PeerConnection = JsonRpcConnection<NoMethods, typeof peerMethods>;
type Methods = typeof peerMethods;

/**
 * The parameters of a call, or what creates them from the time that is left for the call
 * when it is sent, milliseconds.
 */
export type ParamsSource<M extends keyof Methods & string> =
  ParamsOf<Methods, M> | ((leftMs: number) => ParamsOf<Methods, M>);

/** How an entry calls another one. */
export interface PeerTransport {
  /**
   * @throws ConnectError when nothing was sent
   * @throws LostAnswerError when the call may have taken effect
   * @throws RemoteError when the other entry did not answer with a result
   */
  call<M extends keyof Methods & string>(
    address: string,
    method: M,
    params: ParamsSource<M>,
    timeoutMs: number,
  ): Promise<ResultOf<Methods, M>>;
}

export interface PeerConnectionsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
}

export class PeerConnections implements PeerTransport {
  /** The connection over which an entry is called. */
  private readonly open = new Map<string, Promise<PeerConnection>>();
  /** All connections, including those that are not used for further calls. */
  private readonly connections = new Set<PeerConnection>();
  private isStopped = false;

  constructor(private readonly options: PeerConnectionsOptions) {}

  async call<M extends keyof Methods & string>(
    address: string,
    method: M,
    params: ParamsSource<M>,
    timeoutMs: number,
  ): Promise<ResultOf<Methods, M>> {
    const { clock } = this.options;
    const startedAt = clock.monotonic();
    const pending = this.connectionTo(address, timeoutMs);
    const connection = await pending;
    const leftMs = timeoutMs - (clock.monotonic() - startedAt);
    if (!connection.isOpen || leftMs <= 0) {
      this.drop(address, pending);
      throw new ConnectError(address, "closed before the call was sent");
    }
    try {
      const sent = typeof params === "function" ? params(leftMs) : params;
      return await connection.call(method, sent, leftMs);
    } catch (err) {
      // Other calls over this connection may still be answered, so it is not closed.
      if (err instanceof LostAnswerError) this.drop(address, pending);
      throw err;
    }
  }

  stop(): void {
    this.isStopped = true;
    for (const connection of this.connections) connection.close("stopping");
    this.open.clear();
  }

  private connectionTo(
    address: string,
    timeoutMs: number,
  ): Promise<PeerConnection> {
    const known = this.open.get(address);
    if (known) return known;
    const pending = this.connect(address, timeoutMs);
    this.open.set(address, pending);
    pending.then(
      ({ closed }) => closed.then(() => this.drop(address, pending)),
      () => this.drop(address, pending),
    );
    return pending;
  }

  private drop(address: string, pending: Promise<PeerConnection>): void {
    if (this.open.get(address) === pending) this.open.delete(address);
  }

  private async connect(
    address: string,
    timeoutMs: number,
  ): Promise<PeerConnection> {
    const { clock, logger } = this.options;
    if (this.isStopped) throw new ConnectError(address, "stopping");
    const waitMs = Math.min(CONNECTIONS.connectTimeoutMs, timeoutMs);
    const socket = await openSocket(address, waitMs, clock);
    const connection = new JsonRpcConnection({
      socket,
      servedMethods: {},
      calledMethods: peerMethods,
      handlers: {},
      idleTimeoutMs: CONNECTIONS.idleTimeoutMs,
      clock,
      logger,
    });
    this.connections.add(connection);
    void connection.closed.then(() => this.connections.delete(connection));
    // Stopped while it was being opened.
    if (this.isStopped) connection.close("stopping");
    return connection;
  }
}

/** @throws ConnectError */
const openSocket = (
  address: string,
  timeoutMs: number,
  clock: Clock,
): Promise<Socket> =>
  new Promise((resolve, reject) => {
    const { address: host, port } = splitAddress(address);
    const socket = connect({ host, port });
    const fail = (cause: unknown): void => {
      timer.cancel();
      socket.destroy();
      reject(new ConnectError(address, cause));
    };
    const timer = clock.after(timeoutMs, () => fail("no answer"));
    socket.once("error", fail);
    socket.once("connect", () => {
      timer.cancel();
      socket.off("error", fail);
      resolve(socket);
    });
  });
