/** A small HTTP server for JSON calls, with fault switches. */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { readBody } from "@rackspan/protocol";
import { FaultSwitches } from "./FaultSwitches.js";

const MAX_BODY_BYTES = 64 * 1024 * 1024;

export interface JsonRequest {
  readonly method: string;
  readonly url: URL;
  readonly body: unknown;
}

export interface JsonAnswer {
  readonly status?: number;
  readonly body: unknown;
}

export type JsonHandler = (
  request: JsonRequest,
) => Promise<JsonAnswer> | JsonAnswer;

export class JsonServer {
  readonly faults = new FaultSwitches();
  /** Number of calls received, including those that a fault affected. */
  calls = 0;
  private readonly server: Server;

  constructor(private readonly handler: JsonHandler) {
    this.server = createServer((req, res) => void this.handle(req, res));
    this.server.keepAliveTimeout = 60_000;
  }

  /** @returns the base URL; port 0 selects any free port */
  async listen(port = 0, address = "127.0.0.1"): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(port, address, resolve);
    });
    return this.url;
  }

  get url(): string {
    const { address, port } = this.server.address() as AddressInfo;
    return `http://${address}:${port}`;
  }

  async close(): Promise<void> {
    const closed = new Promise<void>((resolve) =>
      this.server.close(() => resolve()),
    );
    this.server.closeAllConnections();
    await closed;
  }

  private async handle(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    this.calls += 1;
    res.on("error", () => undefined);
    if (this.faults.interceptBefore(req, res)) return;
    const answer = await this.answer(req);
    if (this.faults.slowMs > 0) await delay(this.faults.slowMs);
    if (this.faults.interceptAfter(req)) return;
    const body = JSON.stringify(answer.body);
    res.writeHead(answer.status ?? 200, {
      "content-type": "application/json",
      "content-length": String(Buffer.byteLength(body)),
    });
    res.end(body);
  }

  private async answer(req: IncomingMessage): Promise<JsonAnswer> {
    try {
      const url = new URL(req.url ?? "/", "http://standin");
      const text = (await readBody(req, MAX_BODY_BYTES)).toString("utf8");
      const body: unknown = text === "" ? undefined : JSON.parse(text);
      return await this.handler({ method: req.method ?? "GET", url, body });
    } catch (err) {
      return { status: 400, body: { error: String(err) } };
    }
  }
}

export const delay = (ms: number): Promise<void> =>
  new Promise((resolve) => void setTimeout(resolve, ms));
