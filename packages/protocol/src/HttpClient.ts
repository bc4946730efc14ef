/**
 * HTTP calls over Node's http, with size-limited responses and a
 * typed error for each failure.
 */

import {
  Agent,
  request,
  type ClientRequest,
  type IncomingMessage,
} from "node:http";
import type { Socket } from "node:net";
import { describeError, SystemClock } from "@rackspan/common";
import { ConnectError, LostAnswerError } from "./errors.js";
import { ProgressTimeout } from "./ProgressTimeout.js";
import { readBody } from "./readBody.js";

const DEFAULT_TIMEOUT_MS = 5_000;
const DEFAULT_MAX_SOCKETS = 16;
const MAX_RESPONSE_BYTES = 64 * 1024 * 1024;
const SENT_PART_BYTES = 16_384;

const clock = new SystemClock({ keepsProcessAlive: true });

export interface HttpCall {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  readonly path: string;
  readonly body?: Buffer | string;
  readonly headers?: Readonly<Record<string, string>>;
  /**
   * Milliseconds without progress after which the call fails and its connection is closed.
   * Progress is a part of the request that was sent, or of the answer that was received. They
   * are extended when this process was suspended as they elapsed, by the time of the
   * suspension.
   */
  readonly timeoutMs?: number;
  /** The same between two parts of the answer; `timeoutMs` if absent. */
  readonly answerTimeoutMs?: number;
  readonly signal?: AbortSignal;
  /** Whether the call may be sent over the given connection; any connection if absent. */
  readonly acceptsSocket?: (socket: Socket) => boolean;
  /** Called once there is a connection, before the first byte of the call is sent. */
  readonly onSending?: () => void;
  /** Called for each part of the request that was sent and of the answer that was received. */
  readonly onProgress?: () => void;
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
    // A response that is being read only says that it was aborted.
    const timeout: { err?: Error } = {};
    const res = await this.send(url, call, timeout);
    try {
      const body = await readBody(res, MAX_RESPONSE_BYTES);
      return { status: res.statusCode ?? 0, body };
    } catch (err) {
      const reason = describeError(timeout.err ?? err);
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

  private send(
    url: string,
    call: HttpCall,
    timeout: { err?: Error },
  ): Promise<IncomingMessage> {
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
      const timer = new ProgressTimeout(clock, timeoutMs, () => {
        if (req.reusedSocket) this.closeIdle();
        const err = new Error(
          `silent for ${timeoutMs} ms after ${receivedBytes} bytes`,
        );
        timeout.err = err;
        if (!req.socket) reject(new ConnectError(url, err));
        req.destroy(err);
      });
      const recordReceived = (chunk: Buffer): void => {
        receivedBytes += chunk.length;
        timer.recordProgress(call.answerTimeoutMs);
        call.onProgress?.();
      };
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
      sendBody(req, call.body, () => {
        timer.recordProgress();
        call.onProgress?.();
      });
    });
  }
}

/** Sends the body in parts, and reports each one that the connection has taken. */
const sendBody = (
  req: ClientRequest,
  body: Buffer | string | undefined,
  onPartSent: () => void,
): void => {
  if (body === undefined) {
    req.end();
    return;
  }
  const bytes = typeof body === "string" ? Buffer.from(body) : body;
  const sendFrom = (at: number): void => {
    const end = at + SENT_PART_BYTES;
    if (end >= bytes.length) {
      req.end(bytes.subarray(at));
      return;
    }
    req.write(bytes.subarray(at, end), (err) => {
      if (err || req.destroyed) return;
      onPartSent();
      sendFrom(end);
    });
  };
  sendFrom(0);
};

const headersOf = ({
  body,
  headers = {},
}: HttpCall): Record<string, string> => ({
  ...headers,
  ...(body === undefined
    ? {}
    : { "content-length": String(Buffer.byteLength(body)) }),
});
