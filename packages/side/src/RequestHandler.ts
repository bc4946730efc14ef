/** Admits requests from entries and forwards them to local endpoints. */

import { Agent, type IncomingMessage, type ServerResponse } from "node:http";
import type { Duplex } from "node:stream";
import type { Clock, Incarnation, Logger, Metrics } from "@rackspan/common";
import {
  Attempt,
  AttemptFailedError,
  forwardHeaders,
  hasBody,
  joinSockets,
  HEADER,
  INTERNAL_HEADERS,
  parseAddress,
  endSocketWithProblem,
  REASON,
  relayResponse,
  sendProblem,
  STATUS_SWITCHING_PROTOCOLS,
  type BodyStream,
  type Outcome,
  type Problem,
  type Reason,
} from "@rackspan/protocol";
import type { AdmissionGate, Permit } from "./AdmissionGate.js";
import type { RequestFences } from "./RequestFences.js";
import { readRequestHead, type RequestHead } from "./requestHead.js";
import type { HeldTask, TaskSupervisor } from "./TaskSupervisor.js";

export interface RequestHandlerOptions {
  readonly incarnation: Incarnation;
  readonly tasks: TaskSupervisor;
  readonly gate: AdmissionGate;
  readonly fences: RequestFences;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

interface Refusal {
  readonly status: number;
  readonly reason: Reason;
  readonly detail: string;
  readonly outcome?: Outcome;
}

const STATUS = {
  BAD_REQUEST: 400,
  BAD_GATEWAY: 502,
  UNAVAILABLE: 503,
  TIMEOUT: 504,
} as const;

/** Headers from the entry that are not forwarded to the endpoint. */
const DROPPED_REQUEST_HEADERS: ReadonlySet<string> = new Set([
  HEADER.SERVICE,
  HEADER.CLASS,
  HEADER.INCARNATION,
  HEADER.TIMEOUT,
]);

export class RequestHandler {
  /** While set, requests are refused with the outcome `not-run`. */
  isRefusing = false;
  private readonly agent = new Agent({
    keepAlive: true,
    keepAliveMsecs: 5_000,
  });
  private readonly inFlight = new Map<string, number>();
  private readonly watches = new Set<Duplex | ServerResponse>();

  constructor(private readonly options: RequestHandlerOptions) {}

  /** Serves one request. Its slot is released on every path. */
  async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const head = readRequestHead(req);
    if (!head) return this.refuse(req, res, undefined, badHead);
    const refusal = this.refusalBeforeAdmission(head);
    if (refusal) return this.refuse(req, res, head, refusal);
    const arrivedAt = this.options.clock.monotonic();
    const { gate } = this.options;
    const admission = head.watch
      ? gate.admitWatch()
      : await gate.admitRequest(head.timeoutMs);
    if (!admission.admitted) {
      return this.refuse(req, res, head, notAdmitted(admission.reason));
    }
    try {
      const spentMs = this.options.clock.monotonic() - arrivedAt;
      await this.forward(req, res, head, head.timeoutMs - spentMs);
    } finally {
      admission.permit.release();
    }
  }

  /** Serves one protocol upgrade, which holds a connection but no slot. */
  handleUpgrade(req: IncomingMessage, socket: Duplex, head: Buffer): void {
    socket.on("error", () => socket.destroy());
    const request = readRequestHead(req);
    if (!request)
      return endSocketWithProblem(socket, toProblem(badHead, undefined));
    const refusal = this.refusalBeforeAdmission(request);
    if (refusal)
      return endSocketWithProblem(socket, toProblem(refusal, request));
    const admission = this.options.gate.admitWatch();
    if (!admission.admitted) {
      const busy = notAdmitted(admission.reason);
      return endSocketWithProblem(socket, toProblem(busy, request));
    }
    socket.on("close", () => admission.permit.release());
    this.tunnel(req, socket, head, request, admission.permit);
  }

  /** Number of open watches, including upgraded connections. */
  get openWatches(): number {
    return this.watches.size;
  }

  closeWatches(): void {
    for (const watch of this.watches) watch.destroy();
  }

  close(): void {
    this.agent.destroy();
  }

  private refusalBeforeAdmission(head: RequestHead): Refusal | undefined {
    const { incarnation, tasks } = this.options;
    const status = STATUS.UNAVAILABLE;
    if (head.incarnation !== incarnation) {
      const detail =
        "the request is meant for an earlier run of this side process";
      return { status, reason: REASON.WRONG_INCARNATION, detail };
    }
    if (this.isRefusing) {
      return { status, reason: REASON.LEAVING, detail: "this host is leaving" };
    }
    if (!tasks.ready) {
      return {
        status,
        reason: REASON.NOT_READY,
        detail: "the worker is not known yet",
      };
    }
    if (tasks.endpointsOf(head.service).length === 0) {
      const detail = `no endpoint of ${head.service} runs here`;
      return { status, reason: REASON.NO_ENDPOINT, detail };
    }
    return undefined;
  }

  private refuse(
    req: IncomingMessage,
    res: ServerResponse,
    head: RequestHead | undefined,
    refusal: Refusal,
  ): void {
    this.options.logger.debug("request.refused", {
      request: head?.request,
      attempt: head?.attempt,
      reason: refusal.reason,
    });
    this.options.metrics.count("side_refused", { reason: refusal.reason });
    res.setHeader(HEADER.BUSY_SLOTS, String(this.options.gate.busySlots));
    // Drains the body, which would otherwise precede the next request on the connection.
    req.resume();
    sendProblem(res, toProblem(refusal, head));
  }

  /** Forwards an admitted request; from here on the endpoint may receive it. */
  private async forward(
    req: IncomingMessage,
    res: ServerResponse,
    head: RequestHead,
    timeoutMs: number,
  ): Promise<void> {
    const endpoint = this.leastLoadedEndpoint(head);
    if (!endpoint) return this.refuse(req, res, head, endpointGone);
    if (res.destroyed) return;
    if (timeoutMs <= 0)
      return this.refuse(req, res, head, notAdmitted(REASON.DEADLINE));
    const start = this.options.fences.tryStart(head);
    if (start === "fenced") return this.refuse(req, res, head, fenced);
    if (start === "repeated") return this.refuse(req, res, head, repeated);
    await this.exchange(req, res, head, endpoint, timeoutMs);
  }

  private async exchange(
    req: IncomingMessage,
    res: ServerResponse,
    head: RequestHead,
    endpoint: HeldTask,
    timeoutMs: number,
  ): Promise<void> {
    const { clock, metrics } = this.options;
    const task = endpoint.identity.task;
    const attempt = this.send(req, head, endpoint, timeoutMs);
    this.addInFlight(task, 1);
    let timedOut = false;
    const timer = clock.after(timeoutMs, () => {
      timedOut = true;
      attempt.cancel();
    });
    const onClose = (): void => attempt.cancel();
    res.on("close", onClose);
    const startedAt = clock.monotonic();
    try {
      const answer = await attempt.response;
      timer.cancel();
      res.off("close", onClose);
      if (head.watch) this.addWatch(res);
      const end = await this.relay(answer, res);
      this.options.logger.debug("request.end", {
        request: head.request,
        attempt: head.attempt,
        task,
        end,
        status: answer.statusCode,
      });
      metrics.count("side_answered", { end });
      metrics.latency("endpoint").record(clock.monotonic() - startedAt);
    } catch (err) {
      this.refuse(req, res, head, failure(err, timedOut));
    } finally {
      timer.cancel();
      this.addInFlight(task, -1);
    }
  }

  private send(
    req: IncomingMessage,
    head: RequestHead,
    endpoint: HeldTask,
    timeoutMs: number,
  ): Attempt {
    return new Attempt({
      address: parseAddress(endpoint.address as string),
      agent: this.agent,
      method: req.method ?? "GET",
      path: req.url ?? "/",
      headers: endpointHeaders(req, timeoutMs),
      body: bodyOf(req),
    });
  }

  private async relay(answer: IncomingMessage, res: ServerResponse) {
    const headers = forwardHeaders(answer.rawHeaders, {
      drop: INTERNAL_HEADERS,
      add: [HEADER.BUSY_SLOTS, String(this.options.gate.busySlots)],
    });
    res.writeHead(answer.statusCode ?? 502, answer.statusMessage, headers);
    return relayResponse(answer, res);
  }

  private tunnel(
    req: IncomingMessage,
    socket: Duplex,
    head: Buffer,
    request: RequestHead,
    permit: Permit,
  ): void {
    const endpoint = this.leastLoadedEndpoint(request);
    const started =
      endpoint && this.options.fences.tryStart(request) === "started";
    if (!endpoint || !started) {
      permit.release();
      return endSocketWithProblem(socket, toProblem(endpointGone, request));
    }
    const attempt = new Attempt({
      address: parseAddress(endpoint.address as string),
      agent: false,
      method: req.method ?? "GET",
      path: req.url ?? "/",
      headers: upgradeHeaders(req),
      body: undefined,
      onUpgrade: (answer, upstream, upstreamHead) => {
        this.addWatch(socket);
        joinSockets({ response: answer, socket, head, upstream, upstreamHead });
      },
    });
    attempt.response.then(
      (answer) => {
        if (answer.statusCode === STATUS_SWITCHING_PROTOCOLS) return;
        answer.destroy();
        endSocketWithProblem(
          socket,
          toProblem(upgradeRefused(answer.statusCode), request),
        );
      },
      (err: unknown) =>
        endSocketWithProblem(socket, toProblem(failure(err, false), request)),
    );
    socket.on("close", () => attempt.cancel());
  }

  private addWatch(watch: Duplex | ServerResponse): void {
    this.watches.add(watch);
    this.options.metrics.count("watches_opened");
    watch.on("close", () => this.watches.delete(watch));
  }

  private leastLoadedEndpoint({ service }: RequestHead): HeldTask | undefined {
    let best: HeldTask | undefined;
    let bestLoad = Infinity;
    for (const task of this.options.tasks.endpointsOf(service)) {
      const load = this.inFlight.get(task.identity.task) ?? 0;
      if (load >= bestLoad) continue;
      best = task;
      bestLoad = load;
    }
    return best;
  }

  private addInFlight(task: string, delta: number): void {
    const next = (this.inFlight.get(task) ?? 0) + delta;
    if (next > 0) this.inFlight.set(task, next);
    else this.inFlight.delete(task);
  }
}

const badHead: Refusal = {
  status: STATUS.BAD_REQUEST,
  reason: REASON.BAD_REQUEST,
  detail: "a header that an entry sets is missing or wrong",
};
const fenced: Refusal = {
  status: STATUS.UNAVAILABLE,
  reason: REASON.FENCED,
  detail: "the entry has given this attempt up",
};
const repeated: Refusal = {
  status: STATUS.UNAVAILABLE,
  reason: REASON.FENCED,
  detail: "this attempt has been seen before",
  outcome: "unknown",
};
const endpointGone: Refusal = {
  status: STATUS.UNAVAILABLE,
  reason: REASON.NO_ENDPOINT,
  detail: "the endpoint has just ended",
};

const notAdmitted = (reason: Reason): Refusal => ({
  status: STATUS.UNAVAILABLE,
  reason,
  detail: "this host has no room for the request in its time",
});

const upgradeRefused = (status: number | undefined): Refusal => ({
  status: STATUS.BAD_GATEWAY,
  reason: REASON.UPGRADE_REFUSED,
  detail: `the endpoint answered ${status ?? "nothing"} instead of switching protocols`,
  outcome: "unknown",
});

const failure = (err: unknown, timedOut: boolean): Refusal => {
  const mayHaveRun = !(err instanceof AttemptFailedError) || err.mayHaveRun;
  if (timedOut) {
    const detail = "the endpoint did not answer in time";
    const outcome = mayHaveRun ? "unknown" : "not-run";
    return { status: STATUS.TIMEOUT, reason: REASON.DEADLINE, detail, outcome };
  }
  return {
    status: STATUS.BAD_GATEWAY,
    reason: mayHaveRun ? REASON.CONNECTION_LOST : REASON.CONNECT_FAILED,
    detail: "the endpoint gave no answer",
    outcome: mayHaveRun ? "unknown" : "not-run",
  };
};

const toProblem = (
  refusal: Refusal,
  head: RequestHead | undefined,
): Problem => ({
  status: refusal.status,
  reason: refusal.reason,
  outcome: refusal.outcome ?? "not-run",
  detail: refusal.detail,
  remedy: "the entry tries another host where it may",
  ...(head ? { requestId: head.request } : {}),
});

const bodyOf = (req: IncomingMessage): BodyStream | undefined =>
  hasBody(req.headers)
    ? { stream: req, isComplete: () => req.complete }
    : undefined;

const endpointHeaders = (req: IncomingMessage, timeoutMs: number): string[] => {
  const add = [HEADER.TIMEOUT, String(Math.max(1, Math.floor(timeoutMs)))];
  if (req.headers["transfer-encoding"] !== undefined) {
    add.push("Transfer-Encoding", "chunked");
  }
  return forwardHeaders(req.rawHeaders, { drop: DROPPED_REQUEST_HEADERS, add });
};

const upgradeHeaders = (req: IncomingMessage): string[] =>
  forwardHeaders(req.rawHeaders, {
    drop: DROPPED_REQUEST_HEADERS,
    add: ["Connection", "upgrade", "Upgrade", req.headers.upgrade ?? ""],
  });
