/** The HTTP listener for callers: parses, admits and handles their requests. */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { describeError, sleep, type Sequence } from "@rackspan/common";
import {
  addressOf,
  closeServer,
  endSocketWithProblem,
  listenOn,
  REASON,
  sendProblem,
  type Problem,
} from "@rackspan/protocol";
import type { Fold } from "@rackspan/state";
import { parseCallerRequest } from "./callerRequest.js";
import {
  CallerRequestHandler,
  type CallerRequestHandlerOptions,
} from "./CallerRequestHandler.js";
import { RouteTable } from "./RouteTable.js";
import { openTunnel } from "./openTunnel.js";

export interface RequestServerOptions extends Omit<
  CallerRequestHandlerOptions,
  "isClosingWatches"
> {
  readonly fold: Fold;
  /** Whether the configuration, and so the routes, have been read. */
  readonly isReady: () => boolean;
  readonly maxHeaderBytes: number;
  readonly headersTimeoutMs: number;
  readonly maxConnections: number;
}

const KEEP_ALIVE_MS = 75_000;
const DRAIN_POLL_MS = 20;
const CONNECTION_CHECK_MS = 1_000;

export class RequestServer {
  private readonly server: Server;
  private routes = new RouteTable([]);
  private routesVersion: Sequence | undefined;
  private inProgress = 0;
  private isRefusing = false;
  private isClosingWatches = false;
  private readonly handlerOptions: CallerRequestHandlerOptions;
  private readonly watches = new Set<Duplex | ServerResponse>();

  constructor(private readonly options: RequestServerOptions) {
    const { maxHeaderBytes, headersTimeoutMs, maxConnections } = options;
    const isClosingWatches = (): boolean => this.isClosingWatches;
    this.handlerOptions = { ...options, isClosingWatches };
    this.server = createServer(
      {
        maxHeaderSize: maxHeaderBytes,
        headersTimeout: headersTimeoutMs,
        // The time to receive a body is limited by the request's own deadline.
        requestTimeout: 0,
        connectionsCheckingInterval: Math.min(
          CONNECTION_CHECK_MS,
          headersTimeoutMs,
        ),
      },
      (req, res) => void this.serve(req, res),
    );
    this.server.maxConnections = maxConnections;
    this.server.keepAliveTimeout = KEEP_ALIVE_MS;
    this.server.on("clientError", (err, socket) =>
      this.onClientError(err, socket),
    );
    this.server.on("upgrade", (req, socket, head) =>
      this.upgrade(req, socket, head),
    );
  }

  listen(on: { port: number; address: string }): Promise<void> {
    return listenOn(this.server, on);
  }

  get url(): string {
    return `http://${addressOf(this.server)}`;
  }

  get requestsInProgress(): number {
    return this.inProgress;
  }

  get openWatches(): number {
    return this.watches.size;
  }

  /** Refuses new requests, completes those in progress, and ends watches between events. */
  async drain(limitMs: number): Promise<void> {
    const { clock } = this.options;
    this.isRefusing = true;
    this.isClosingWatches = true;
    this.server.close();
    this.server.closeIdleConnections();
    const end = clock.monotonic() + limitMs;
    while (this.inProgress > this.watches.size)
      await sleep(clock, DRAIN_POLL_MS);
    while (this.watches.size > 0 && clock.monotonic() < end) {
      await sleep(clock, DRAIN_POLL_MS);
    }
  }

  async close(): Promise<void> {
    for (const watch of this.watches) watch.destroy();
    await closeServer(this.server);
  }

  private async serve(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    res.on("error", () => undefined);
    req.on("error", () => undefined);
    if (this.isRefusing) res.setHeader("connection", "close");
    const refusal = this.refusalOfServer();
    if (refusal) return this.refuse(req, res, refusal);
    const parsed = parseCallerRequest(req, this.currentRoutes());
    if (!parsed.ok) return this.refuse(req, res, parsed.problem);
    this.inProgress += 1;
    if (parsed.request.match.route.class === "watch") this.addWatch(res);
    try {
      await new CallerRequestHandler(
        this.handlerOptions,
        parsed.request,
        req,
        res,
      ).run();
    } catch (err) {
      this.options.logger.error("request.failed", {
        error: describeError(err),
      });
      this.options.metrics.count("request_errors");
      if (res.headersSent) res.destroy();
      else sendProblem(res, internalError);
    } finally {
      this.inProgress -= 1;
    }
  }

  private addWatch(watch: Duplex | ServerResponse): void {
    this.watches.add(watch);
    watch.on("close", () => this.watches.delete(watch));
  }

  private refusalOfServer(): Problem | undefined {
    if (this.isRefusing) return leaving;
    return this.options.isReady() ? undefined : notReady;
  }

  private refuse(
    req: IncomingMessage,
    res: ServerResponse,
    problem: Problem,
  ): void {
    const { reason, outcome } = problem;
    this.options.metrics.count("refused", { reason, outcome });
    if (!req.complete) res.setHeader("connection", "close");
    sendProblem(res, problem);
    req.resume();
  }

  private currentRoutes(): RouteTable {
    const { config } = this.options.fold;
    if (config.version !== this.routesVersion) {
      this.routes = new RouteTable(config.services());
      this.routesVersion = config.version;
    }
    return this.routes;
  }

  private upgrade(req: IncomingMessage, socket: Duplex, head: Buffer): void {
    socket.on("error", () => socket.destroy());
    const refusal = this.refusalOfServer();
    if (refusal) return endSocketWithProblem(socket, refusal);
    const parsed = parseCallerRequest(req, this.currentRoutes());
    if (!parsed.ok) return endSocketWithProblem(socket, parsed.problem);
    if (parsed.request.match.route.class !== "watch")
      return endSocketWithProblem(socket, notAWatch);
    const { loop, metrics, clock } = this.options;
    openTunnel({
      loop,
      metrics,
      clock,
      req,
      socket,
      head,
      request: parsed.request,
    })
      .then((problem) => {
        if (problem) endSocketWithProblem(socket, problem);
        else this.addWatch(socket);
      })
      .catch((err: unknown) => {
        this.options.logger.error("upgrade.failed", {
          error: describeError(err),
        });
        socket.destroy();
      });
  }

  /** Answers bytes that are not HTTP, or a request head that is too large or too slow. */
  private onClientError(err: NodeJS.ErrnoException, socket: Duplex): void {
    const problem = problemOf(err);
    this.options.metrics.count("refused", {
      reason: problem.reason,
      outcome: problem.outcome,
    });
    // If a response has been started, a second one would corrupt it.
    const hasStarted = (socket as Socket).bytesWritten > 0;
    if (err.code === "ECONNRESET" || !socket.writable || hasStarted) {
      socket.destroy();
      return;
    }
    endSocketWithProblem(socket, problem);
  }
}

const problemOf = ({ code }: NodeJS.ErrnoException): Problem => {
  if (code === "HPE_HEADER_OVERFLOW") {
    return {
      status: 431,
      reason: REASON.HEADERS_TOO_LARGE,
      outcome: "not-run",
      detail: "the headers are larger than this entry takes",
      remedy: "send fewer or shorter headers",
    };
  }
  if (code === "ERR_HTTP_REQUEST_TIMEOUT") {
    return {
      status: 408,
      reason: REASON.SLOW_SENDER,
      outcome: "not-run",
      detail: "the head of the request did not arrive in time",
      remedy: "send the head at once",
    };
  }
  return {
    status: 400,
    reason: REASON.BAD_REQUEST,
    outcome: "not-run",
    detail: "this is not a valid HTTP/1.1 request",
    remedy: "correct the client",
  };
};

const leaving: Problem = {
  status: 503,
  reason: REASON.LEAVING,
  outcome: "not-run",
  detail: "this entry is stopping",
  remedy: "send the request again: the balancer knows other entries",
  retryAfterS: 0,
};

const notReady: Problem = {
  status: 503,
  reason: REASON.NOT_READY,
  outcome: "not-run",
  detail: "this entry does not know the configuration yet",
  remedy: "retry after the time given",
  retryAfterS: 1,
};

const notAWatch: Problem = {
  status: 400,
  reason: REASON.UPGRADE_REFUSED,
  outcome: "not-run",
  detail: "only routes of class watch take upgraded connections",
  remedy: "use a watch route, or send a plain request",
};

const internalError: Problem = {
  status: 500,
  reason: REASON.INTERNAL,
  outcome: "unknown",
  detail: "this entry failed while it served the request",
  remedy: "report it with the entry's log",
};
