/** Handles one request of a caller, from its arrival to the end of the response. */

import type { IncomingMessage, ServerResponse } from "node:http";
import {
  type Clock,
  type Logger,
  type Metrics,
  type Monotonic,
} from "@rackspan/common";
import {
  BodyTooLargeError,
  forwardHeaders,
  HEADER,
  INTERNAL_HEADERS,
  readBody,
  REASON,
  relayResponse,
  sendProblem,
  type BodyStream,
  type Problem,
} from "@rackspan/protocol";
import type { PolicyEvaluator } from "@rackspan/policies";
import type { DeadlineQueue } from "@rackspan/routing";
import type { RequestClass } from "@rackspan/state";
import {
  Cancellation,
  type AnsweredRequest,
  type AttemptLoop,
  type OutgoingRequest,
} from "./AttemptLoop.js";
import type { CallerRequest } from "./callerRequest.js";
import {
  digestRequest,
  type KeyedRequest,
  type KeyedRequests,
} from "./KeyedRequests.js";
import { LimitedBody } from "./LimitedBody.js";
import {
  isEventStream,
  WatchRelay,
  type WatchRelayOptions,
} from "./WatchRelay.js";

export interface CallerRequestHandlerOptions extends WatchRelayOptions {
  readonly loop: AttemptLoop;
  readonly keys: KeyedRequests;
  readonly queues: Readonly<Record<RequestClass, DeadlineQueue>>;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly policies: PolicyEvaluator;
  readonly keepBodyBytes: number;
  readonly keepAnswerBytes: number;
}

const NOT_FORWARDED: ReadonlySet<string> = new Set([
  ...INTERNAL_HEADERS,
  HEADER.REQUEST_ID,
]);

export class CallerRequestHandler {
  private readonly cancellation = new Cancellation();
  private readonly arrivedAt: Monotonic;
  private readonly deadline: Monotonic;
  private claimedRequest: KeyedRequest | undefined;
  private isReadingBody = false;
  private isCallerGone = false;
  private hasRefused = false;

  constructor(
    private readonly options: CallerRequestHandlerOptions,
    private readonly request: CallerRequest,
    private readonly req: IncomingMessage,
    private readonly res: ServerResponse,
  ) {
    this.arrivedAt = options.clock.monotonic();
    this.deadline = this.arrivedAt + request.timeoutMs;
  }

  async run(): Promise<void> {
    const { clock, queues } = this.options;
    const policy = this.findRefusingPolicy();
    if (policy !== undefined) return this.refuse(policyRefusal(policy));
    const timer = clock.after(this.request.timeoutMs, () => this.onDeadline());
    this.res.on("close", () => this.onCallerGone());
    try {
      const body = await this.readBufferedBody();
      if (body === "refused") return;
      const queue = queues[this.request.match.route.class];
      const queueResult = await queue.run(this.remainingMs(), () =>
        this.serve(body, () => timer.cancel()),
      );
      if (queueResult !== "entered") this.refuse(queueRefusal(queueResult));
    } finally {
      timer.cancel();
    }
  }

  /** The admission policy that refuses this request, if any. */
  private findRefusingPolicy(): string | undefined {
    const { policies, queues } = this.options;
    if (!policies.has("admission")) return undefined;
    const { match, timeoutMs } = this.request;
    const queue = queues[match.route.class];
    return policies.findRefusingPolicy({
      service: match.service,
      class: match.route.class,
      path: this.req.url ?? "/",
      repeatable: match.route.repeatable,
      timeoutMs,
      inProgress: queue.inProgress,
      queued: queue.queued,
    });
  }

  private remainingMs(): number {
    return Math.max(0, this.deadline - this.options.clock.monotonic());
  }

  private onDeadline(): void {
    this.cancellation.cancel("deadline");
    if (!this.isReadingBody) return;
    // A body that never ends would keep the request open forever.
    this.res.on("finish", () => this.req.destroy());
    this.refuse(bodyIncomplete);
  }

  /** A request with a claimed key continues, because the caller can repeat it by its key. */
  private onCallerGone(): void {
    this.isCallerGone = true;
    if (!this.claimedRequest) this.cancellation.cancel("caller-gone");
  }

  private get mustBufferBody(): boolean {
    const { key, match } = this.request;
    return key !== undefined && !match.route.repeatable;
  }

  private isBodyStreamed(): boolean {
    const { hasBody, contentLength } = this.request;
    if (!hasBody || this.mustBufferBody) return false;
    return (
      contentLength === undefined || contentLength > this.options.keepBodyBytes
    );
  }

  /** Reads a body that must be buffered; undefined if there is no body or it is streamed. */
  private async readBufferedBody(): Promise<Buffer | undefined | "refused"> {
    if (!this.request.hasBody || this.isBodyStreamed()) return undefined;
    this.isReadingBody = true;
    try {
      return await readBody(this.req, this.request.match.route.maxBodyBytes);
    } catch (err) {
      this.refuse(
        err instanceof BodyTooLargeError ? bodyTooLarge : bodyIncomplete,
      );
      return "refused";
    } finally {
      this.isReadingBody = false;
    }
  }

  private async serve(
    buffered: Buffer | undefined,
    cancelTimer: () => void,
  ): Promise<void> {
    if (this.cancellation.reason) return this.refuse(queueRefusal("late"));
    if (
      this.mustBufferBody &&
      !(await this.claimKey(buffered ?? Buffer.alloc(0)))
    )
      return;
    const limited = this.isBodyStreamed()
      ? new LimitedBody(this.req, this.request.match.route.maxBodyBytes)
      : undefined;
    const outgoing = this.outgoing(limited ?? buffered);
    const result = await this.options.loop.run(outgoing, this.cancellation);
    if (result.kind === "refused")
      return this.onRefused(result.problem, limited);
    if (this.isWatch) {
      cancelTimer();
      return this.relayWatch(outgoing, result);
    }
    await this.relay(result);
  }

  private get isWatch(): boolean {
    return this.request.match.route.class === "watch";
  }

  private outgoing(body: Buffer | BodyStream | undefined): OutgoingRequest {
    const { id, match } = this.request;
    return {
      id,
      service: match.service,
      class: match.route.class,
      repeatable: match.route.repeatable,
      method: this.req.method ?? "GET",
      path: this.req.url ?? "/",
      rawHeaders: this.req.rawHeaders,
      body,
      deadline: this.deadline,
    };
  }

  /** @returns whether this request may be sent */
  private async claimKey(body: Buffer): Promise<boolean> {
    const { id, key, match } = this.request;
    const digest = digestRequest(
      this.req.method ?? "GET",
      this.req.url ?? "/",
      body,
    );
    const keyed = { id, service: match.service, key: key as string, digest };
    const decision = await this.options.keys.begin(keyed, this.remainingMs());
    switch (decision.kind) {
      case "proceed":
        this.claimedRequest = keyed;
        return true;
      case "refused":
        this.refuse(decision.problem);
        return false;
      case "replay": {
        const { status, contentType, body: recordedBody } = decision.response;
        this.count("replayed");
        this.res.writeHead(status, {
          ...(contentType ? { "content-type": contentType } : {}),
          [HEADER.REQUEST_ID]: id,
          [HEADER.REPLAYED]: "true",
        });
        this.res.end(recordedBody);
        return false;
      }
    }
  }

  private onRefused(problem: Problem, body: LimitedBody | undefined): void {
    if (this.claimedRequest && problem.outcome === "not-run")
      this.options.keys.release(this.claimedRequest);
    this.refuse(
      body?.exceeded ? { ...bodyTooLarge, outcome: problem.outcome } : problem,
    );
  }

  private async relay(result: AnsweredRequest): Promise<void> {
    const { response } = result;
    const recorder = this.claimedRequest
      ? new ResponseRecorder(response, this.options.keepAnswerBytes)
      : undefined;
    this.writeHead(response);
    const readToEnd = this.claimedRequest !== undefined;
    const end = await relayResponse(response, this.res, { readToEnd });
    result.release(end !== "broken");
    // The endpoint's response is recorded even if the caller has disconnected meanwhile.
    if (recorder && this.claimedRequest && response.complete) {
      this.options.keys.recordResponse(
        this.claimedRequest,
        recorder.recorded(),
      );
    }
    this.count(end === "whole" ? "answered" : end);
    const { clock, metrics } = this.options;
    metrics
      .latency(`request_${this.request.match.route.class}`)
      .record(clock.monotonic() - this.arrivedAt);
  }

  /** Relays the events of a watch, and reconnects when an endpoint stops or fails. */
  private async relayWatch(
    outgoing: OutgoingRequest,
    first: AnsweredRequest,
  ): Promise<void> {
    if (!isEventStream(first)) return this.relay(first);
    this.writeHead(first.response);
    this.res.flushHeaders();
    const { res, cancellation } = this;
    const relay = new WatchRelay(this.options, { outgoing, res, cancellation });
    await relay.follow(first, (end) => this.count(`watch-${end}`));
  }

  private writeHead(response: IncomingMessage): void {
    const headers = forwardHeaders(response.rawHeaders, {
      drop: NOT_FORWARDED,
      add: [HEADER.REQUEST_ID, this.request.id],
    });
    if (this.res.headersSent || this.res.destroyed) return;
    this.res.writeHead(
      response.statusCode ?? 502,
      response.statusMessage,
      headers,
    );
  }

  private refuse(problem: Problem): void {
    if (this.hasRefused) return;
    this.hasRefused = true;
    if (this.isCallerGone) {
      this.count("caller-gone");
      return;
    }
    this.options.metrics.count("refused", {
      reason: problem.reason,
      outcome: problem.outcome,
    });
    this.count("refused");
    if (!this.req.complete) this.res.setHeader("connection", "close");
    sendProblem(this.res, { ...problem, requestId: this.request.id });
  }

  private count(end: string): void {
    const { id, match } = this.request;
    this.options.logger.debug("request.end", {
      request: id,
      service: match.service,
      end,
      status: this.res.statusCode,
    });
    this.options.metrics.count("requests", { class: match.route.class, end });
  }
}

/** Records a response while it is relayed, up to a size limit. */
class ResponseRecorder {
  private chunks: Buffer[] | undefined = [];
  private bytes = 0;

  constructor(
    private readonly response: IncomingMessage,
    limit: number,
  ) {
    response.on("data", (chunk: Buffer) => {
      this.bytes += chunk.length;
      if (this.bytes > limit) this.chunks = undefined;
      this.chunks?.push(chunk);
    });
  }

  recorded() {
    const { statusCode = 502, headers } = this.response;
    const contentType = headers["content-type"];
    const body = this.chunks ? Buffer.concat(this.chunks) : undefined;
    return { status: statusCode, contentType, body };
  }
}

const bodyTooLarge: Problem = {
  status: 413,
  reason: REASON.BODY_TOO_LARGE,
  outcome: "not-run",
  detail: "the body is larger than the route takes",
  remedy: "send a smaller body",
};

const bodyIncomplete: Problem = {
  status: 408,
  reason: REASON.SLOW_SENDER,
  outcome: "not-run",
  detail: "the body did not arrive whole in time",
  remedy: "send the whole body, or allow more time",
};

const policyRefusal = (policy: string): Problem => ({
  status: 503,
  reason: REASON.POLICY,
  outcome: "not-run",
  detail: `the policy ${policy} does not let this request in now`,
  remedy: "retry after the time given; operators see rackspan get config",
  retryAfterS: 1,
});

const queueRefusal = (why: "full" | "late"): Problem => ({
  status: why === "full" ? 503 : 504,
  reason: why === "full" ? REASON.QUEUE_FULL : REASON.DEADLINE,
  outcome: "not-run",
  detail:
    why === "full"
      ? "too many requests of this class wait already"
      : "the request's time ran out before it could be sent",
  remedy: "it was not run: retry after the time given",
  retryAfterS: 1,
});
