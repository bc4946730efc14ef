/** Stand-in of an endpoint: an HTTP server whose behaviour is set by the query of each request. */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { createHash } from "node:crypto";
import type { RequestLedger } from "./RequestLedger.js";

const WATCH_EVENT_MS = 50;

export interface EndpointOptions {
  readonly name: string;
  readonly requests: RequestLedger;
  /** Default delay of an answer, milliseconds; the query parameter `delayMs` overrides it. */
  readonly latencyMs?: number;
}

/**
 * Query parameters: `delayMs`, `status`, `bytes` (size of the answer),
 * `break` (cut the connection after that many bytes), `watch` (server-sent events),
 * `stall` (read no body and answer nothing), `echo` (answer with the request's body, chunk by chunk).
 */
export class EndpointStandin {
  readonly server: Server;
  /** Whether requests get no answer. */
  paused = false;
  private readonly sockets = new Set<Socket>();

  constructor(private readonly options: EndpointOptions) {
    this.server = createServer((req, res) => void this.handle(req, res));
    this.server.keepAliveTimeout = 60_000;
    this.server.on("upgrade", (req, socket: Socket) =>
      this.upgrade(req, socket),
    );
    this.server.on("connection", (socket) => {
      this.sockets.add(socket);
      socket.on("close", () => this.sockets.delete(socket));
    });
  }

  async listen(port = 0): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(port, "127.0.0.1", resolve);
    });
    return this.address;
  }

  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Closes the server and all connections at once, as the end of the task does. */
  kill(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private async handle(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    res.on("error", () => undefined);
    req.on("error", () => undefined);
    if (this.paused) return;
    const url = new URL(req.url ?? "/", "http://endpoint");
    this.record(req, url.pathname);
    const latencyMs = Number(
      url.searchParams.get("delayMs") ?? this.options.latencyMs ?? 0,
    );
    if (url.searchParams.has("stall")) return;
    if (url.searchParams.has("watch")) return this.watch(req, res);
    if (url.searchParams.has("echo")) return echo(req, res);
    const digest = await digestOf(req);
    if (latencyMs > 0) await new Promise((done) => setTimeout(done, latencyMs));
    answer(res, url.searchParams, {
      endpoint: this.options.name,
      path: url.pathname,
      request: req.headers["rackspan-request-id"],
      digest,
    });
  }

  private record(req: IncomingMessage, path: string): void {
    this.options.requests.record({
      request: String(req.headers["rackspan-request-id"]),
      attempt: String(req.headers["rackspan-attempt"]),
      key: req.headers["idempotency-key"] as string | undefined,
      path,
      endpoint: this.options.name,
    });
  }

  /** Sends numbered events; resumes after `Last-Event-ID`. */
  private watch(req: IncomingMessage, res: ServerResponse): void {
    let next = Number(req.headers["last-event-id"] ?? -1) + 1;
    res.writeHead(200, { "content-type": "text/event-stream" });
    const timer = setInterval(() => {
      res.write(`id: ${next}\ndata: ${this.options.name}\n\n`);
      next += 1;
    }, WATCH_EVENT_MS);
    res.on("close", () => clearInterval(timer));
  }

  /** Echoes every byte on an upgraded connection. */
  private upgrade(req: IncomingMessage, socket: Socket): void {
    const protocol = req.headers.upgrade ?? "";
    socket.on("error", () => undefined);
    socket.write(
      `HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: ${protocol}\r\n\r\n`,
    );
    socket.pipe(socket);
  }
}

const digestOf = async (req: IncomingMessage): Promise<string> => {
  const hash = createHash("sha256");
  try {
    for await (const chunk of req) hash.update(chunk as Buffer);
  } catch {
    return "broken";
  }
  return hash.digest("hex");
};

const echo = (req: IncomingMessage, res: ServerResponse): void => {
  res.writeHead(200, {
    "content-type": req.headers["content-type"] ?? "application/octet-stream",
    trailer: "x-bytes",
  });
  let bytes = 0;
  req.on("data", (chunk: Buffer) => (bytes += chunk.length));
  req.on("end", () => {
    res.addTrailers({ "x-bytes": String(bytes) });
  });
  req.pipe(res);
};

const answer = (
  res: ServerResponse,
  query: URLSearchParams,
  content: Readonly<Record<string, string | string[] | undefined>>,
): void => {
  const filler = "x".repeat(Number(query.get("bytes") ?? 0));
  const body = JSON.stringify({ ...content, filler });
  res.writeHead(Number(query.get("status") ?? 200), {
    "content-type": "application/json",
    "content-length": String(Buffer.byteLength(body)),
  });
  if (!query.has("break")) {
    res.end(body);
    return;
  }
  res.write(body.slice(0, Number(query.get("break"))), () => res.destroy());
};
