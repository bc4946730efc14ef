/** A caller of services that sends plain HTTP requests and opens watches. */

import { Agent, request, type IncomingMessage } from "node:http";
import { readBody } from "@rackspan/protocol";

export interface CallOptions {
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Buffer;
  /** Timeout until the head of the answer arrives, milliseconds. */
  readonly timeoutMs?: number;
}

export interface CallAnswer {
  readonly status: number;
  readonly headers: IncomingMessage["headers"];
  readonly trailers: IncomingMessage["trailers"];
  readonly body: string;
}

const MAX_ANSWER_BYTES = 64 * 1024 * 1024;
const DEFAULT_TIMEOUT_MS = 20_000;

export class Caller {
  private readonly agent = new Agent({ keepAlive: true });

  /** @throws Error when the connection breaks before the answer is complete */
  async call(url: string, options: CallOptions = {}): Promise<CallAnswer> {
    const res = await this.open(url, options);
    const body = await readBody(res, MAX_ANSWER_BYTES);
    const { statusCode = 0, headers, trailers } = res;
    return {
      status: statusCode,
      headers,
      trailers,
      body: body.toString("utf8"),
    };
  }

  /** @returns the answer once its head has arrived; the body may still be incomplete */
  open(url: string, options: CallOptions = {}): Promise<IncomingMessage> {
    const {
      method = "GET",
      headers = {},
      body,
      timeoutMs = DEFAULT_TIMEOUT_MS,
    } = options;
    return new Promise((resolve, reject) => {
      const req = request(
        url,
        { method, headers, agent: this.agent },
        (res) => {
          clearTimeout(timer);
          resolve(res);
        },
      );
      const timer = setTimeout(
        () => req.destroy(new Error("no answer within the caller's timeout")),
        timeoutMs,
      );
      req.on("error", (err) => {
        clearTimeout(timer);
        reject(err);
      });
      req.end(body);
    });
  }

  close(): void {
    this.agent.destroy();
  }
}
