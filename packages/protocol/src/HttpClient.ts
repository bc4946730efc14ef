/**
 * HTTP calls over Node's http, with size-limited responses and a
 * typed error for each failure.
 */

import { Agent, request, type IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { describeError, SystemClock } from "@rackspan/common";
import { ConnectError, LostAnswerError } from "./errors.js";
import { readBody } from "./readBody.js";
import { startTimeout } from "./startTimeout.js";

const DEFAULT_TIMEOUT_MS = 5_000;
const DEFAULT_MAX_SOCKETS = 16;
const MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

const clock = new SystemClock({ keepsProcessAlive: true });

export interface HttpCall {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  readonly path: string;
  readonly body?: Buffer | string;
  readonly headers?: Readonly<Record<string, string>>;
  /**
   * Milliseconds after which the call fails and its connection is closed; extended
   * when this process was suspended as they elapsed, by the time of the suspension.
   */
  readonly timeoutMs?: number;
  readonly signal?: AbortSignal;
  /** Whether the call may be sent over the given connection; any connection if absent. */
  readonly acceptsSocket?: (socket: Socket) => boolean;
  /** Called once there is a connection, before the first byte of the call is sent. */
  readonly onSending?: () => void;
}

export interface HttpResponse {
  readonly status: number;
  readonly body: Buffer;
}

export interface HttpClientOptions {
  /** `http://IP:PORT`, without a trailing slash. */
  readonly baseUrl: string;
  /** Maximum number of connections to the other process. */
  readonly maxSockets?: number;
}

export class HttpClient {
  private readonly agent: Agent;
  private readonly baseUrl: string;

  constructor({
    baseUrl,
    maxSockets = DEFAULT_MAX_SOCKETS,
  }: HttpClientOptions) {
    this.baseUrl = baseUrl.replace(/\/$/, "");
    this.agent = new Agent({ keepAlive: true, maxSockets });
  }

  urlOf(path: string): string {
    return `${this.baseUrl}${path}`;
  }

  /**
   * Returns responses of any status.
   * @throws ConnectError when nothing was sent
   * @throws LostAnswerError when the call may have taken effect
   */
  async call(call: HttpCall): Promise<HttpResponse> {
    const url = this.urlOf(call.path);
    const res = await this.send(url, call);
    try {
      const body = await readBody(res, MAX_RESPONSE_BYTES);
      return { status: res.statusCode ?? 0, body };
    } catch (err) {
      const reason = describeError(res.errored ?? err);
      throw new LostAnswerError(
        `the response of ${url} was incomplete: ${reason}`,
        err,
      );
    }
  }

  close(): void {
    this.agent.destroy();
  }

  /**
   * Closes the idle connections. Called when a reused connection stops responding,
   * as the others may have too: each of them would cost a call its whole time-out.
   */
  closeIdle(): void {
    for (const sockets of Object.values(this.agent.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  private send(url: string, call: HttpCall): Promise<IncomingMessage> {
    return new Promise((resolve, reject) => {
      let connected = false;
      const req = request(url, {
        method: call.method,
        agent: this.agent,
        signal: call.signal,
        headers: headersOf(call),
      });
      // Node reports the error of a call that has no connection only once one becomes
      // free, so time-outs and aborts reject such a call themselves.
      const timeoutMs = call.timeoutMs ?? DEFAULT_TIMEOUT_MS;
      let receivedBytes = 0;
      const recordReceived = (chunk: Buffer): void => {
        receivedBytes += chunk.length;
      };
      const timer = startTimeout(clock, timeoutMs, () => {
        if (req.reusedSocket) this.closeIdle();
        const err = new Error(
          `no complete response within ${timeoutMs} ms, but ${receivedBytes} bytes of it`,
        );
        if (!req.socket) reject(new ConnectError(url, err));
        req.destroy(err);
      });
      req.on("socket", (socket) => {
        socket.on("data", recordReceived);
        req.on("close", () => socket.off("data", recordReceived));
        if (call.acceptsSocket?.(socket) === false) {
          // No byte has been written at this point.
          req.destroy(new Error("the confirmed connection was closed"));
          return;
        }
        const markConnected = (): void => {
          connected = true;
          call.onSending?.();
        };
        if (!socket.connecting) markConnected();
        else socket.once("connect", markConnected);
      });
      const { signal } = call;
      const rejectUnsent = (): void => {
        if (req.socket) return;
        timer.cancel();
        reject(new ConnectError(url, signal?.reason));
      };
      if (signal?.aborted) rejectUnsent();
      else signal?.addEventListener("abort", rejectUnsent, { once: true });
      req.on("close", () => {
        timer.cancel();
        signal?.removeEventListener("abort", rejectUnsent);
      });
      req.on("response", resolve);
      req.on("error", (err) => {
        reject(
          connected
            ? new LostAnswerError(`${url}: ${err.message}`, err)
            : new ConnectError(url, err),
        );
      });
      req.end(call.body);
    });
  }
}

const headersOf = ({
  body,
  headers = {},
}: HttpCall): Record<string, string> => ({
  ...headers,
  ...(body === undefined
    ? {}
    : { "content-length": String(Buffer.byteLength(body)) }),
});
