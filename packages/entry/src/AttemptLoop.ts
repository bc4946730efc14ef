/**
 * Sends a request to endpoints until one responds: picks an endpoint, sends an attempt,
 * and retries if allowed. A request that may run only once is retried only after it is
 * confirmed that the last attempt did not run.
 */

import type { IncomingMessage } from "node:http";
import type { Duplex } from "node:stream";
import type {
  Clock,
  HostId,
  Incarnation,
  Logger,
  Metrics,
  Monotonic,
  RequestId,
  ServiceName,
} from "@rackspan/common";
import {
  Attempt,
  AttemptFailedError,
  HEADER,
  REASON,
  type AttemptOptions,
  type BodyStream,
  type Outcome,
  type Problem,
  type Reason,
} from "@rackspan/protocol";
import type {
  EndpointPicker,
  OutlierEjector,
  RetryBudget,
} from "@rackspan/routing";
import type { RequestClass } from "@rackspan/state";
import type { EndpointState } from "./EndpointState.js";
import { agentFor, sideHeaders } from "./sideRequest.js";
import type { SidePeer } from "./SidePeer.js";

/** An attempt in flight. */
export interface SentAttempt {
  readonly response: Promise<IncomingMessage>;
  cancel(): void;
}

/** The part of a side that the loop uses. */
export type AttemptPeer = Pick<
  SidePeer,
  "record" | "endpoint" | "fenceRequest"
>;

/** The sides that requests can be sent to. */
export interface AttemptSides {
  serving(service: ServiceName): readonly AttemptPeer[];
  get(host: HostId): AttemptPeer | undefined;
}

export interface AttemptLoopOptions {
  readonly sides: AttemptSides;
  /** Sends one attempt; defaults to HTTP. */
  readonly sendAttempt?: (options: AttemptOptions) => SentAttempt;
  readonly picker: EndpointPicker;
  readonly ejector: OutlierEjector;
  readonly budget: RetryBudget;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly maxAttempts: number;
}

export type UpgradeListener = (
  response: IncomingMessage,
  socket: Duplex,
  head: Buffer,
) => void;

/** A request that is to be sent to some endpoint. */
export interface OutgoingRequest {
  readonly id: RequestId;
  readonly service: ServiceName;
  readonly class: RequestClass;
  readonly repeatable: boolean;
  readonly method: string;
  readonly path: string;
  readonly rawHeaders: readonly string[];
  /** A stream can be sent only once, a buffer any number of times. */
  readonly body: Buffer | BodyStream | undefined;
  readonly deadline: Monotonic;
  readonly onUpgrade?: UpgradeListener;
}

/** Cancels the attempt in flight when the caller disconnects or the deadline passes. */
export class Cancellation {
  reason: "caller-gone" | "deadline" | undefined;
  private attempt: SentAttempt | undefined;

  cancel(reason: "caller-gone" | "deadline"): void {
    this.reason ??= reason;
    this.attempt?.cancel();
  }

  /** Sets the attempt that `cancel` ends. */
  track(attempt: SentAttempt | undefined): void {
    this.attempt = attempt;
  }
}

/** A response of an endpoint; `release` must be called when it has ended. */
export interface AnsweredRequest {
  readonly kind: "answered";
  readonly response: IncomingMessage;
  readonly host: HostId;
  release(ok: boolean): void;
}

export interface RefusedRequest {
  readonly kind: "refused";
  readonly problem: Problem;
}

export type LoopResult = AnsweredRequest | RefusedRequest;

/** An attempt without a response of an endpoint. */
interface AttemptFailure {
  readonly outcome: Outcome;
  readonly reason: Reason;
  readonly status: number;
}

/** When an attempt was sent, and to which incarnation of the side. */
interface AttemptTarget {
  readonly startedAt: Monotonic;
  readonly incarnation: Incarnation;
}

const STATUS_UNAVAILABLE = 503;
const STATUS_BAD_GATEWAY = 502;
const STATUS_TIMEOUT = 504;
const FENCE_TIMEOUT_MS = 500;
const RETRY_AFTER_S = 1;

export class AttemptLoop {
  constructor(private readonly options: AttemptLoopOptions) {}

  async run(
    request: OutgoingRequest,
    cancellation: Cancellation,
  ): Promise<LoopResult> {
    const { maxAttempts, budget, metrics } = this.options;
    const tried = new Set<HostId>();
    let lastFailure: AttemptFailure | undefined;
    let mayHaveRun = false;
    budget.deposit();
    for (let attempt = 1; attempt <= maxAttempts; attempt += 1) {
      const peer = this.pick(request.service, tried);
      if (!peer) break;
      tried.add(peer.record.host);
      const result = await this.tryOnce(request, attempt, peer, cancellation);
      if (result.kind === "answered") return result;
      lastFailure = result.failure;
      mayHaveRun ||= lastFailure.outcome === "unknown";
      this.options.logger.debug("attempt.failed", {
        request: request.id,
        attempt,
        host: peer.record.host,
        reason: lastFailure.reason,
        outcome: lastFailure.outcome,
      });
      metrics.count("attempt_failed", {
        reason: lastFailure.reason,
        outcome: lastFailure.outcome,
      });
      if (cancellation.reason || !this.mayRetry(request, lastFailure, attempt))
        break;
      metrics.count("retries", { reason: lastFailure.reason });
    }
    return {
      kind: "refused",
      problem: finalProblem(request, lastFailure, mayHaveRun, cancellation),
    };
  }

  private pick(
    service: ServiceName,
    tried: ReadonlySet<HostId>,
  ): AttemptPeer | undefined {
    const { sides, picker, ejector } = this.options;
    const candidates: EndpointState[] = [];
    for (const peer of sides.serving(service)) {
      if (peer.endpoint && !tried.has(peer.record.host))
        candidates.push(peer.endpoint);
    }
    if (candidates.length === 0) return undefined;
    return sides.get(picker.pick(ejector.admit(candidates)).host);
  }

  private mayRetry(
    request: OutgoingRequest,
    failure: AttemptFailure,
    attempt: number,
  ): boolean {
    const { clock, budget, metrics, maxAttempts } = this.options;
    if (attempt >= maxAttempts) return false;
    const isReplayable =
      request.body === undefined || Buffer.isBuffer(request.body);
    if (!isReplayable || clock.monotonic() >= request.deadline) return false;
    if (failure.outcome === "unknown" && !request.repeatable) return false;
    if (budget.tryWithdraw()) return true;
    metrics.count("retries_denied", { reason: failure.reason });
    return false;
  }

  private async tryOnce(
    request: OutgoingRequest,
    attempt: number,
    peer: AttemptPeer,
    cancellation: Cancellation,
  ): Promise<
    | AnsweredRequest
    | { readonly kind: "failed"; readonly failure: AttemptFailure }
  > {
    const { clock } = this.options;
    const endpoint = peer.endpoint as EndpointState;
    const startedAt = clock.monotonic();
    const sent = this.send(request, attempt, endpoint);
    cancellation.track(sent);
    endpoint.inFlight += 1;
    try {
      const response = await sent.response;
      recordLoad(endpoint, response, clock.monotonic());
      if (response.headers[HEADER.OUTCOME] === undefined) {
        return this.toAnswered(response, endpoint, startedAt);
      }
      endpoint.inFlight -= 1;
      return { kind: "failed", failure: refusalOf(response) };
    } catch (err) {
      endpoint.inFlight -= 1;
      const failure = failureOf(err, cancellation);
      if (!cancellation.reason) this.report(endpoint, false, startedAt);
      const settled = await this.confirmNotRun(
        request,
        attempt,
        peer,
        failure,
        { startedAt, incarnation: endpoint.incarnation },
        cancellation,
      );
      return { kind: "failed", failure: settled };
    }
  }

  private send(
    request: OutgoingRequest,
    attempt: number,
    { address, incarnation }: EndpointState,
  ): SentAttempt {
    const { id, service, method, path, body, onUpgrade, deadline } = request;
    const timeoutMs = Math.max(
      0,
      Math.floor(deadline - this.options.clock.monotonic()),
    );
    const { sendAttempt = (options) => new Attempt(options) } = this.options;
    return sendAttempt({
      address,
      agent: agentFor(request),
      method,
      path,
      body,
      headers: sideHeaders({
        rawHeaders: request.rawHeaders,
        body,
        upgrade: onUpgrade !== undefined,
        values: {
          id,
          service,
          class: request.class,
          attempt,
          incarnation,
          timeoutMs,
        },
      }),
      ...(onUpgrade ? { onUpgrade } : {}),
    });
  }

  private toAnswered(
    response: IncomingMessage,
    endpoint: EndpointState,
    startedAt: Monotonic,
  ): AnsweredRequest {
    let released = false;
    const release = (ok: boolean): void => {
      if (released) return;
      released = true;
      endpoint.inFlight -= 1;
      this.report(endpoint, ok, startedAt);
    };
    return { kind: "answered", response, host: endpoint.host, release };
  }

  private report(
    endpoint: EndpointState,
    ok: boolean,
    startedAt: Monotonic,
  ): void {
    const at = this.options.clock.monotonic();
    const latencyMs = at - startedAt;
    if (ok) endpoint.recordLatency(latencyMs);
    this.options.ejector.report({ host: endpoint.host, ok, latencyMs, at });
  }

  /**
   * Asks the side whether a request that may run only once has started there. The call
   * names the incarnation that the attempt was sent to, because a later incarnation has
   * no record of the attempt.
   */
  private async confirmNotRun(
    request: OutgoingRequest,
    attempt: number,
    peer: AttemptPeer,
    failure: AttemptFailure,
    { startedAt, incarnation }: AttemptTarget,
    cancellation: Cancellation,
  ): Promise<AttemptFailure> {
    if (failure.outcome === "not-run" || request.repeatable) return failure;
    const { clock, metrics, logger } = this.options;
    const now = clock.monotonic();
    const timeoutMs = Math.min(FENCE_TIMEOUT_MS, request.deadline - now);
    if (timeoutMs <= 0 || cancellation.reason === "deadline") return failure;
    const ageMs = now - startedAt;
    const fence = { request: request.id, attempt, incarnation, ageMs };
    const started = await peer
      .fenceRequest(fence, timeoutMs)
      .catch(() => "unknown" as const);
    metrics.count("request_fences", { started });
    logger.info("request.fenced", { request: request.id, attempt, started });
    return started === "no" ? { ...failure, outcome: "not-run" } : failure;
  }
}

const recordLoad = (
  endpoint: EndpointState,
  response: IncomingMessage,
  at: Monotonic,
): void => {
  const busy = Number(response.headers[HEADER.BUSY_SLOTS]);
  if (Number.isInteger(busy)) endpoint.recordBusySlots(busy, at);
};

// The side removes this header from responses of endpoints, so the side has set it itself.
const refusalOf = (response: IncomingMessage): AttemptFailure => {
  response.resume();
  const outcome =
    response.headers[HEADER.OUTCOME] === "not-run" ? "not-run" : "unknown";
  const reason = (response.headers[HEADER.REASON] ?? REASON.INTERNAL) as Reason;
  return { outcome, reason, status: response.statusCode ?? STATUS_BAD_GATEWAY };
};

const failureOf = (err: unknown, { reason }: Cancellation): AttemptFailure => {
  const mayHaveRun = !(err instanceof AttemptFailedError) || err.mayHaveRun;
  const outcome = mayHaveRun ? "unknown" : "not-run";
  if (reason === "deadline") {
    return { outcome, reason: REASON.DEADLINE, status: STATUS_TIMEOUT };
  }
  return mayHaveRun
    ? { outcome, reason: REASON.CONNECTION_LOST, status: STATUS_BAD_GATEWAY }
    : { outcome, reason: REASON.CONNECT_FAILED, status: STATUS_UNAVAILABLE };
};

const finalProblem = (
  request: OutgoingRequest,
  failure: AttemptFailure | undefined,
  mayHaveRun: boolean,
  cancellation: Cancellation,
): Problem => {
  const common = { requestId: request.id, retryAfterS: RETRY_AFTER_S };
  if (!failure) {
    return {
      ...common,
      status: STATUS_UNAVAILABLE,
      reason: REASON.NO_ENDPOINT,
      outcome: "not-run",
      detail: `no endpoint of ${request.service} is in service`,
      remedy: "retry after the time given; operators see rackspan status",
    };
  }
  const isLate = cancellation.reason === "deadline";
  return {
    ...common,
    status: isLate ? STATUS_TIMEOUT : failure.status,
    reason: isLate ? REASON.DEADLINE : failure.reason,
    outcome: mayHaveRun ? "unknown" : "not-run",
    detail: `the last attempt ended with ${failure.reason}`,
    remedy: mayHaveRun
      ? "find out whether it ran, or repeat it if that does no harm"
      : "it was not run: retry after the time given",
  };
};
