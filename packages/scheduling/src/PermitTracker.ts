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
import { StepPermits } from "./StepPermits.js";

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
  readonly onTickets: () => void;
}

export interface StepPermitRequest {
  readonly step: StepRun;
  readonly rule: PermitRule;
  /** Hosts that could run the step, the best first. */
  readonly hosts: readonly HostState[];
}

export class PermitTracker {
  private readonly steps = new WeakMap<StepRun, StepPermits>();
  private readonly queue = new PQueue({
    concurrency: PERMIT_REQUESTS.concurrency,
  });
  private stopped = false;
  private loggedNoService = false;

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
    return this.steps.get(step)?.ticketFor(host.instance, now);
  }

  /** Discards a ticket that the worker refused, so that a new one is requested. */
  discardTicket(step: StepRun, host: HostState): void {
    this.steps.get(step)?.discardTicket(host.instance);
  }

  /** Requests more permits for the step, unless a request is in progress. */
  request(wish: StepPermitRequest): void {
    const { service } = this.options;
    const { step, rule } = wish;
    if (!service) {
      this.logNoService(step);
      return;
    }
    const permits = this.permitsOf(step);
    if (!this.mayAsk(permits)) return;
    const instances = this.toName(wish, permits);
    if (instances.length === 0) return;
    permits.isRequesting = true;
    const priority = -step.job.terms.priority;
    void this.queue.add(() => this.ask(service, step, rule, instances), {
      priority,
    });
  }

  /** Logged once: without a service, steps that require a permit never start. */
  private logNoService(step: StepRun): void {
    if (this.loggedNoService) return;
    this.loggedNoService = true;
    this.options.logger.error("permits.no-service", { step: nameOf(step) });
  }

  private mayAsk({ isRequesting: asking, pausedUntil }: StepPermits): boolean {
    if (asking || this.stopped) return false;
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
  private toName(
    { step, hosts }: StepPermitRequest,
    permits: StepPermits,
  ): WorkerInstance[] {
    const now = this.options.clock.monotonic();
    const most = Math.min(
      PERMIT_LIMITS.maxWorkersPerRequest,
      Math.max(
        PERMIT_REQUESTS.minHosts,
        PERMIT_REQUESTS.hostsPerTask * step.waiting.size,
      ),
    );
    return hosts
      .map(({ instance }) => instance)
      .filter((instance) => permits.needsTicket(instance, now))
      .slice(0, most);
  }

  private async ask(
    service: PermitService,
    step: StepRun,
    { decideMs, eachMs }: PermitRule,
    instances: readonly WorkerInstance[],
  ): Promise<void> {
    const { clock, onTickets: onPermits } = this.options;
    const began = clock.monotonic();
    const permits = this.permitsOf(step);
    const takesMs = decideMs + eachMs * instances.length;
    try {
      const answer = await service.requestPermits({
        step: nameOf(step),
        instances,
        timeoutMs:
          PERMIT_REQUESTS.concurrency * takesMs + PERMIT_REQUESTS.slackMs,
      });
      permits.applyAnswer(instances, answer, began);
      this.noteAnswer(step, instances.length, answer, began);
    } catch (err) {
      permits.pausedUntil = clock.monotonic() + PERMIT_REQUESTS.retryMs;
      this.noteFailure(step, err);
    } finally {
      permits.isRequesting = false;
    }
    if (!this.stopped) onPermits();
  }

  private noteAnswer(
    step: StepRun,
    asked: number,
    { permits, validMs }: PermitResponse,
    began: Monotonic,
  ): void {
    const { clock, logger, metrics } = this.options;
    const tookMs = clock.monotonic() - began;
    metrics.count("permit_requests", { result: "answered" });
    metrics.latency("permit_request").record(tookMs);
    logger.info("permits.taken", {
      step: nameOf(step),
      asked,
      permitted: permits.length,
      validMs,
      tookMs: Math.round(tookMs),
    });
  }

  private noteFailure(step: StepRun, err: unknown): void {
    const { logger, metrics } = this.options;
    metrics.count("permit_requests", { result: "failed" });
    const error = describeError(err);
    logger.warn("permits.unavailable", { step: nameOf(step), error });
  }

  private permitsOf(step: StepRun): StepPermits {
    const known = this.steps.get(step);
    if (known) return known;
    const permits = new StepPermits();
    this.steps.set(step, permits);
    return permits;
  }
}

/** The prefix of the task ids of the step. */
const nameOf = ({ job, occurrence, number }: StepRun): string =>
  `${job.id}.${occurrence}.${number}`;
