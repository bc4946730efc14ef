/**
 * Requests that may run only once, identified by idempotency keys. A key is claimed on
 * the log before the request is sent, and a repeat at any entry gets the recorded
 * outcome.
 */

import { createHash } from "node:crypto";
import {
  describeError,
  type Logger,
  type Metrics,
  type RequestId,
  type ServiceName,
} from "@rackspan/common";
import { REASON, type Problem } from "@rackspan/protocol";
import {
  AppendUnknownError,
  type Appender,
  type AppliedRecord,
  type Fold,
  type RequestKeyEntry,
  type RecordedResponse,
} from "@rackspan/state";

export interface KeyedRequestsOptions {
  readonly fold: Fold;
  readonly appender: Appender;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly appendTimeoutMs: number;
}

export interface KeyedRequest {
  readonly id: RequestId;
  readonly service: ServiceName;
  readonly key: string;
  readonly digest: string;
}

export type KeyDecision =
  | { readonly kind: "proceed" }
  | { readonly kind: "replay"; readonly response: RecordedResponse }
  | { readonly kind: "refused"; readonly problem: Problem };

const MAX_APPEND_ATTEMPTS = 5;

/** Hash of the request that a key was used for. */
export const digestRequest = (
  method: string,
  path: string,
  body: Buffer,
): string =>
  createHash("sha256")
    .update(`${method} ${path}\n`)
    .update(body)
    .digest("base64");

export class KeyedRequests {
  /** Claims whose append timed out and that may still reach the log. */
  private readonly abandoned = new Map<RequestId, KeyedRequest>();

  constructor(private readonly options: KeyedRequestsOptions) {
    options.fold.applied.on((applied) => this.onApplied(applied));
  }

  /** Claims the key, and decides whether this entry may send the request. */
  async begin(request: KeyedRequest, timeoutMs: number): Promise<KeyDecision> {
    const { fold, appender, metrics } = this.options;
    const holder = fold.requests.get(request);
    if (holder) return this.decideByEntry(request, holder);
    const { id, service, key, digest } = request;
    try {
      const claim = {
        type: "requestClaim",
        service,
        key,
        digest,
        request: id,
      } as const;
      const result = await appender.submit(claim, timeoutMs);
      metrics.count("key_claims", {
        result: result.accepted ? "won" : result.reason,
      });
      if (result.accepted) return { kind: "proceed" };
    } catch (err) {
      metrics.count("key_claims", { result: "no-answer" });
      if (err instanceof AppendUnknownError) this.abandoned.set(id, request);
      return refused(request, {
        status: 503,
        reason: REASON.LOG_UNAVAILABLE,
        outcome: "not-run",
        detail: describeError(err),
        remedy: "retry with the same key after the time given",
        retryAfterS: 2,
      });
    }
    const winner = fold.requests.get(request);
    return winner ? this.decideByEntry(request, winner) : inProgress(request);
  }

  /** Records the response for repeats, without its body if that was too large. */
  recordResponse(request: KeyedRequest, response: RecordedResponse): void {
    const { id, service, key } = request;
    const { status, contentType, body } = response;
    const outcome = { service, key, request: id, status, contentType, body };
    void this.appendWithRetries({ type: "requestOutcome", ...outcome });
  }

  /** Releases the key of a request that is confirmed not to have run. */
  release({ id, service, key }: KeyedRequest): void {
    void this.appendWithRetries({
      type: "requestRelease",
      service,
      key,
      request: id,
    });
  }

  private async appendWithRetries(
    record: Parameters<Appender["submit"]>[0],
  ): Promise<void> {
    const { appender, appendTimeoutMs, logger, metrics } = this.options;
    for (let tries = 0; tries < MAX_APPEND_ATTEMPTS; tries += 1) {
      try {
        await appender.submit(record, appendTimeoutMs);
        return;
      } catch (err) {
        logger.warn("key.record-failed", {
          type: record.type,
          error: describeError(err),
        });
      }
    }
    metrics.count("key_records_lost", { type: record.type });
  }

  private decideByEntry(
    request: KeyedRequest,
    holder: RequestKeyEntry,
  ): KeyDecision {
    if (holder.digest !== request.digest) {
      return refused(request, {
        status: 422,
        reason: REASON.KEY_REUSED,
        outcome: "not-run",
        detail:
          "the key was used for a request with another method, path or body",
        remedy: "use a fresh key for each request",
      });
    }
    if (!holder.answer) return inProgress(request);
    if (!holder.answer.body) return responseNotRecorded(request);
    return { kind: "replay", response: holder.answer };
  }

  private onApplied({ record, result }: AppliedRecord): void {
    if (record.type !== "requestClaim") return;
    const request = this.abandoned.get(record.request);
    if (!request) return;
    this.abandoned.delete(record.request);
    if (result.accepted) this.release(request);
  }
}

const refused = (
  { id }: KeyedRequest,
  problem: Omit<Problem, "requestId">,
): KeyDecision => ({ kind: "refused", problem: { ...problem, requestId: id } });

const inProgress = (request: KeyedRequest): KeyDecision =>
  refused(request, {
    status: 409,
    reason: REASON.KEY_IN_PROGRESS,
    outcome: "unknown",
    detail: "a request with this key was sent and its outcome is not known yet",
    remedy: "ask again with the same key after the time given",
    retryAfterS: 1,
  });

const responseNotRecorded = (request: KeyedRequest): KeyDecision =>
  refused(request, {
    status: 409,
    reason: REASON.OUTCOME_NOT_KEPT,
    outcome: "unknown",
    detail:
      "the request with this key was run; its answer was too large to keep",
    remedy: "read the result from the service itself",
  });
