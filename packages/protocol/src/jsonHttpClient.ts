/** JSON calls over Node's http, with bounded answers and honest failure kinds. */

import { Agent, request, type IncomingMessage } from "node:http";
import {
  BadAnswerError,
  ConnectError,
  LostAnswerError,
  StatusError,
} from "./errors.js";
import { readBody } from "./readBody.js";

const DEFAULT_TIMEOUT_MS = 5_000;
const MAX_ANSWER_BYTES = 64 * 1024 * 1024;

export interface JsonCall {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  readonly path: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
  readonly timeoutMs?: number;
  readonly signal?: AbortSignal;
}

/** Anything that checks a parsed value; zod schemas do. */
export interface Parser<T> {
  parse(value: unknown): T;
}

export interface JsonHttpClientOptions {
  /** `http://IP:PORT`, without a trailing slash. */
  readonly baseUrl: string;
  /** Connections kept open to the other process. */
  readonly maxSockets?: number;
}

export class JsonHttpClient {
  private readonly agent: Agent;
  private readonly baseUrl: string;

  constructor({ baseUrl, maxSockets = 16 }: JsonHttpClientOptions) {
    this.baseUrl = baseUrl.replace(/\/$/, "");
    this.agent = new Agent({ keepAlive: true, maxSockets });
  }

  /**
   * @throws ConnectError when nothing was sent
   * @throws LostAnswerError when the call may have taken effect
   * @throws StatusError for an answer of 400 or more
   * @throws BadAnswerError when the body does not parse
   */
  async call<T>(call: JsonCall, parser: Parser<T>): Promise<T> {
    const url = `${this.baseUrl}${call.path}`;
    const { status, text } = await this.exchange(url, call);
    if (status >= 400) throw new StatusError(url, status, text);
    try {
      return parser.parse(JSON.parse(text));
    } catch (err) {
      throw new BadAnswerError(url, err);
    }
  }

  close(): void {
    this.agent.destroy();
  }

  private async exchange(url: string, call: JsonCall): Promise<Exchanged> {
    const res = await this.send(url, call);
    try {
      const body = await readBody(res, MAX_ANSWER_BYTES);
      return { status: res.statusCode ?? 0, text: body.toString("utf8") };
    } catch (err) {
      throw new LostAnswerError(`the answer of ${url} broke off`, err);
    }
  }

  private send(url: string, call: JsonCall): Promise<IncomingMessage> {
    return new Promise((resolve, reject) => {
      const payload =
        call.body === undefined ? undefined : JSON.stringify(call.body);
      let connected = false;
      const req = request(url, {
        method: call.method,
        agent: this.agent,
        signal: call.signal,
        headers: jsonHeaders(payload, call.headers),
      });
      const timeoutMs = call.timeoutMs ?? DEFAULT_TIMEOUT_MS;
      const timer = setTimeout(
        () => req.destroy(new Error(`no answer within ${timeoutMs} ms`)),
        timeoutMs,
      );
      req.on("socket", (socket) => {
        if (!socket.connecting) connected = true;
        else socket.once("connect", () => (connected = true));
      });
      req.on("close", () => clearTimeout(timer));
      req.on("response", resolve);
      req.on("error", (err) => {
        reject(
          connected
            ? new LostAnswerError(`${url}: ${err.message}`, err)
            : new ConnectError(url, err),
        );
      });
      req.end(payload);
    });
  }
}

interface Exchanged {
  readonly status: number;
  readonly text: string;
}

const jsonHeaders = (
  payload: string | undefined,
  extra: Readonly<Record<string, string>> = {},
): Record<string, string> =>
  payload === undefined
    ? { ...extra }
    : {
        ...extra,
        "content-type": "application/json",
        "content-length": String(Buffer.byteLength(payload)),
      };
