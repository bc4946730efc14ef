/**
 * HTTP calls to one of several processes that use the same address one after the
 * other. A connection never outlives the process at its other end, so each new
 * connection is confirmed before anything else is sent over it: a call reaches the
 * intended process or none, even when another process has just replaced it.
 */

import type { Socket } from "node:net";
import { SystemClock } from "@rackspan/common";
import { ConnectError, LostAnswerError } from "./errors.js";
import { HttpClient, type HttpResponse, type HttpCall } from "./HttpClient.js";
import { startTimeout } from "./startTimeout.js";

const DEFAULT_TIMEOUT_MS = 5_000;

const clock = new SystemClock({ keepsProcessAlive: true });

/** Sends a call over the connection that is being confirmed. */
export type SendProbe = (call: HttpCall) => Promise<HttpResponse>;

export interface ConfirmedCall extends HttpCall {
  /** Identifies the intended process. */
  readonly peer: string;
  /**
   * Checks over a new connection which process answers.
   * @throws when it is not the intended one; the call is not sent then
   */
  readonly confirmPeer: (sendProbe: SendProbe) => Promise<void>;
}

export interface ConfirmedHttpClientOptions {
  /** `http://IP:PORT`, without a trailing slash. */
  readonly baseUrl: string;
  /** Maximum number of connections to the other process. */
  readonly maxSockets: number;
}

export class ConfirmedHttpClient {
  /**
   * Idle connections. The most recently used ones are last, and the
   * most likely to be confirmed.
   */
  private readonly idle: PeerConnection[];
  private readonly waiting = new Set<(free: PeerConnection) => void>();

  constructor(private readonly options: ConfirmedHttpClientOptions) {
    const { baseUrl, maxSockets } = options;
    this.idle = Array.from(
      { length: maxSockets },
      () => new PeerConnection(baseUrl),
    );
  }

  /**
   * Returns responses of any status.
   * @throws ConnectError when nothing of the call was sent
   * @throws LostAnswerError when the call may have taken effect
   */
  async call(call: ConfirmedCall): Promise<HttpResponse> {
    const connection = await this.acquire(call);
    try {
      return await connection.call(call);
    } catch (err) {
      // The other idle connections may have stopped responding too.
      if (err instanceof LostAnswerError) this.closeIdle();
      throw err;
    } finally {
      this.release(connection);
    }
  }

  private closeIdle(): void {
    for (const connection of this.idle) connection.close();
  }

  private acquire({
    peer,
    timeoutMs = DEFAULT_TIMEOUT_MS,
  }: ConfirmedCall): Promise<PeerConnection> {
    const at = this.idle.findLastIndex((each) => each.isConfirmed(peer));
    const [free] = this.idle.splice(at, 1);
    if (free) return Promise.resolve(free);
    return new Promise((resolve, reject) => {
      const take = (connection: PeerConnection): void => {
        timer.cancel();
        resolve(connection);
      };
      const timer = startTimeout(clock, timeoutMs, () => {
        this.waiting.delete(take);
        const cause = new Error(`no free connection within ${timeoutMs} ms`);
        reject(new ConnectError(this.options.baseUrl, cause));
      });
      this.waiting.add(take);
    });
  }

  private release(connection: PeerConnection): void {
    const [next] = this.waiting;
    if (!next) {
      this.idle.push(connection);
      return;
    }
    this.waiting.delete(next);
    next(connection);
  }
}

/** One connection at a time, and the process that is confirmed to be at its other end. */
class PeerConnection {
  private readonly http: HttpClient;
  private socket: Socket | undefined;
  private peer: string | undefined;

  constructor(private readonly baseUrl: string) {
    this.http = new HttpClient({ baseUrl, maxSockets: 1 });
  }

  isConfirmed(peer: string): boolean {
    return this.peer === peer && this.socket?.destroyed === false;
  }

  close(): void {
    this.http.closeIdle();
  }

  async call(call: ConfirmedCall): Promise<HttpResponse> {
    if (!this.isConfirmed(call.peer)) await this.confirm(call);
    return this.http.call({
      ...call,
      acceptsSocket: (socket) => socket === this.socket,
    });
  }

  private async confirm({ peer, confirmPeer }: ConfirmedCall): Promise<void> {
    this.peer = undefined;
    await confirmPeer((call) => this.probe(call));
    this.peer = peer;
  }

  /** The requests sent here have no effect on which the call itself depends. */
  private async probe(call: HttpCall): Promise<HttpResponse> {
    const acceptsSocket = (socket: Socket): boolean => {
      this.socket = socket;
      return true;
    };
    try {
      return await this.http.call({ ...call, acceptsSocket });
    } catch (err) {
      if (!(err instanceof LostAnswerError)) throw err;
      throw new ConnectError(this.baseUrl, err);
    }
  }
}
