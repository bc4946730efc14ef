/**
 * Tracks which hosts may run the steps of queues that require permits, and holds the
 * tickets. Requests to the permit service are sent in the background and name as many
 * hosts as a step may need. A step waits only for its first response.
 */

import PQueue from "p-queue";
import {
  describeError,
  type Clock,
  type Logger,
  type Metrics,
  type Monotonic,
  type WorkerInstance,
} from "@rackspan/common";
import type { HostState, StepRun } from "@rackspan/jobs";
import {
  PERMIT_LIMITS,
  type PermitResponse,
  type PermitService,
} from "@rackspan/ports";
import type { PermitRule } from "@rackspan/state";
import { StepPermits, type PermitState } from "./StepPermits.js";

/**
 * Two concurrent requests keep a service busy that processes one at a time; the other
 * limits bound how many requests wait.
 */
export const PERMIT_REQUESTS = {
  /** Maximum concurrent requests. The service processes one at a time, in order. */
  concurrency: 2,
  /** Maximum queued requests; further steps request again in a later scheduling cycle. */
  maxQueued: 64,
  /** Hosts named per waiting task, since the service refuses some of them. */
  hostsPerTask: 3,
  /** Minimum number of hosts named, if there are as many. */
  minHosts: 8,
  /** Time until a step whose request failed requests again, milliseconds. */
  retryMs: 250,
  /** Time added to the processing time that the queue's rule states, milliseconds. */
  slackMs: 1_000,
} as const;

export interface PermitTrackerOptions {
  /** Undefined if the platform has no permit service. */
  readonly service: PermitService | undefined;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Called when a permit request has finished. */
  readonly onRequestFinished: () => void;
}

export interface StepPermitRequest {
  readonly step: StepRun;
  readonly rule: PermitRule;
  /** Hosts that could run the step, the best first. */
  readonly hosts: readonly HostState[];
}

export class PermitTracker {
  private readonly permitsByStep = new WeakMap<StepRun, StepPermits>();
  private readonly queue = new PQueue({
    concurrency: PERMIT_REQUESTS.concurrency,
  });
  private stopped = false;
  private hasLoggedNoService = false;

  constructor(private readonly options: PermitTrackerOptions) {}

  stop(): void {
    this.stopped = true;
    this.queue.clear();
  }

  /**
   * Returns the ticket with which tasks of the step may start on the host now, if there
   * is one.
   */
  ticketFor(step: StepRun, host: HostState): string | undefined {
    const now = this.options.clock.monotonic();
    return this.permitsByStep.get(step)?.ticketFor(host.instance, now);
  }

  stateOf(step: StepRun, host: HostState): PermitState {
    const permits = this.permitsByStep.get(step);
    const now = this.options.clock.monotonic();
    return permits?.stateOf(host.instance, now) ?? "undecided";
  }

  /** Discards a ticket that the worker refused, so that a new one is requested. */
  discardTicket(step: StepRun, host: HostState): void {
    this.permitsByStep.get(step)?.discardTicket(host.instance);
  }

  /** Requests more permits for the step, unless a request is in progress. */
  request(permitRequest: StepPermitRequest): void {
    const { service } = this.options;
    const { step, rule } = permitRequest;
    if (!service) {
      this.logNoService(step);
      return;
    }
    const permits = this.permitsOf(step);
    if (!this.mayRequest(permits)) return;
    const instances = this.selectWorkers(permitRequest, permits);
    if (instances.length === 0) return;
    permits.isRequesting = true;
    const priority = -step.job.terms.priority;
    void this.queue.add(
      () => this.sendRequest(service, step, rule, instances),
      {
        priority,
      },
    );
  }

  /** Logged once: without a service, steps that require a permit never start. */
  private logNoService(step: StepRun): void {
    if (this.hasLoggedNoService) return;
    this.hasLoggedNoService = true;
    this.options.logger.error("permits.no-service", { step: stepNameOf(step) });
  }

  private mayRequest({ isRequesting, pausedUntil }: StepPermits): boolean {
    if (isRequesting || this.stopped) return false;
    if (this.options.clock.monotonic() < pausedUntil) return false;
    if (this.queue.size < PERMIT_REQUESTS.maxQueued) return true;
    // The step requests again in a later scheduling cycle.
    this.options.metrics.count("permit_requests", { result: "left-out" });
    return false;
  }

  /**
   * Returns the workers that have no ticket and may get one, up to the number that is
   * useful to name.
   */
  private selectWorkers(
    { step, hosts }: StepPermitRequest,
    permits: StepPermits,
  ): WorkerInstance[] {
    const now = this.options.clock.monotonic();
    const limit = Math.min(
      PERMIT_LIMITS.maxWorkersPerRequest,
      Math.max(
        PERMIT_REQUESTS.minHosts,
        PERMIT_REQUESTS.hostsPerTask * step.waiting.size,
      ),
    );
    return hosts
      .map(({ instance }) => instance)
      .filter((instance) => permits.needsTicket(instance, now))
      .slice(0, limit);
  }

  private async sendRequest(
    service: PermitService,
    step: StepRun,
    { decideMs, eachMs }: PermitRule,
    instances: readonly WorkerInstance[],
  ): Promise<void> {
    const { clock, onRequestFinished } = this.options;
    const sentAt = clock.monotonic();
    const permits = this.permitsOf(step);
    const processingMs = decideMs + eachMs * instances.length;
    try {
      const response = await service.requestPermits({
        step: stepNameOf(step),
        instances,
        timeoutMs:
          PERMIT_REQUESTS.concurrency * processingMs + PERMIT_REQUESTS.slackMs,
      });
      permits.applyResponse(instances, response, sentAt);
      this.logResponse(step, instances.length, response, sentAt);
    } catch (err) {
      permits.pausedUntil = clock.monotonic() + PERMIT_REQUESTS.retryMs;
      this.logFailure(step, err);
    } finally {
      permits.isRequesting = false;
    }
    if (!this.stopped) onRequestFinished();
  }

  private logResponse(
    step: StepRun,
    requestedCount: number,
    { permits, validMs }: PermitResponse,
    sentAt: Monotonic,
  ): void {
    const { clock, logger, metrics } = this.options;
    const tookMs = clock.monotonic() - sentAt;
    metrics.count("permit_requests", { result: "answered" });
    metrics.latency("permit_request").record(tookMs);
    logger.info("permits.taken", {
      step: stepNameOf(step),
      asked: requestedCount,
      permitted: permits.length,
      validMs,
      tookMs: Math.round(tookMs),
    });
  }

  private logFailure(step: StepRun, err: unknown): void {
    const { logger, metrics } = this.options;
    metrics.count("permit_requests", { result: "failed" });
    const error = describeError(err);
    logger.warn("permits.unavailable", { step: stepNameOf(step), error });
  }

  private permitsOf(step: StepRun): StepPermits {
    const known = this.permitsByStep.get(step);
    if (known) return known;
    const permits = new StepPermits();
    this.permitsByStep.set(step, permits);
    return permits;
  }
}

/** The prefix of the task ids of the step. */
const stepNameOf = ({ job, occurrence, number }: StepRun): string =>
  `${job.id}.${occurrence}.${number}`;
