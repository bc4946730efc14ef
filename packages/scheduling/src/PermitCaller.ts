/**
 * Sends requests to the permit service: one at a time, since the service processes one at a
 * time, so that a second one would only wait there.
 */

import {
  describeError,
  type Clock,
  type Logger,
  type Metrics,
  type Monotonic,
  type WorkerInstance,
} from "@rackspan/common";
import type { PermitResponse, PermitService } from "@rackspan/ports";

const LIMITS = {
  /** Pause after a failed request, milliseconds. */
  retryMs: 250,
  /** Time added to the stated processing time, milliseconds. */
  slackMs: 1_000,
  /** Longest delay beyond the stated time that is waited for, milliseconds. */
  maxDelayMs: 30_000,
} as const;

export interface PermitCallerOptions {
  readonly service: PermitService;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

export interface PermitCall {
  /** The prefix of the task ids of the step. */
  readonly step: string;
  readonly instances: readonly WorkerInstance[];
  /** Time that the service takes by the queue's rule, milliseconds. */
  readonly processingMs: number;
}

export class PermitCaller {
  private isCalling = false;
  private isLastAnswered = true;
  private pausedUntil: Monotonic = -Infinity;
  /** How much longer than stated the service took last, milliseconds. */
  private delayMs = 0;

  constructor(private readonly options: PermitCallerOptions) {}

  /** Whether a request may be sent now. */
  get isReady(): boolean {
    if (this.isCalling) return false;
    return this.options.clock.monotonic() >= this.pausedUntil;
  }

  /** Whether the last request was answered. */
  get isAvailable(): boolean {
    return this.isLastAnswered;
  }

  /** @returns undefined if the service failed, which is logged */
  async call(call: PermitCall): Promise<PermitResponse | undefined> {
    const { service, clock, metrics } = this.options;
    const { step, instances, processingMs } = call;
    const sentAt = clock.monotonic();
    const timeoutMs = processingMs + LIMITS.slackMs + 2 * this.delayMs;
    this.isCalling = true;
    try {
      const req = { step, instances, timeoutMs };
      const response = await service.requestPermits(req);
      const tookMs = clock.monotonic() - sentAt;
      this.isLastAnswered = true;
      this.delayMs = Math.max(0, tookMs - processingMs);
      metrics.count("permit_requests", { result: "answered" });
      metrics.latency("permit_request").record(tookMs);
      return response;
    } catch (err) {
      if (clock.monotonic() - sentAt >= timeoutMs) this.recordTimeout();
      this.handleFailure(step, err);
      return undefined;
    } finally {
      this.isCalling = false;
    }
  }

  /**
   * A request that was given up is still processed by the service, before the next one.
   * With the same timeout for that one, no answer might ever be waited for.
   */
  private recordTimeout(): void {
    const { slackMs, maxDelayMs } = LIMITS;
    this.delayMs = Math.min(maxDelayMs, Math.max(slackMs, 2 * this.delayMs));
  }

  private handleFailure(step: string, err: unknown): void {
    const { clock, logger, metrics } = this.options;
    this.isLastAnswered = false;
    this.pausedUntil = clock.monotonic() + LIMITS.retryMs;
    metrics.count("permit_requests", { result: "failed" });
    logger.warn("permits.unavailable", { step, error: describeError(err) });
  }
}
