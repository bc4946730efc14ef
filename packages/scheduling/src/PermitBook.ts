/**
 * Knows which hosts may run the steps of queues that ask for permits, and holds
 * the tickets. The service is asked in the background, for as many hosts as a
 * step may need; a step waits only until the first answer is in.
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
import type { HostLedger, StepRun } from "@rackspan/jobs";
import {
  PERMIT_LIMITS,
  type Permit,
  type PermitAnswer,
  type PermitService,
} from "@rackspan/ports";
import type { AdviceRule } from "@rackspan/state";

export const PERMITS = {
  /** Requests on their way at once: the service works on one at a time, in turn. */
  concurrency: 2,
  /** Steps that may wait for a request; others ask again at a later pass. */
  maxQueued: 64,
  /** Hosts named for each waiting task: the service refuses some of them. */
  hostsPerTask: 3,
  /** Hosts named at least, where there are as many. */
  leastNamed: 8,
  /** A ticket that holds for less than this is not used for a start; milliseconds. */
  marginMs: 150,
  /** A step whose request failed asks again after this. */
  retryMs: 250,
  /** Time for an answer beyond what the queue says that the service takes. */
  slackMs: 1_000,
} as const;

interface Ticket {
  readonly ticket: string;
  readonly validUntil: Monotonic;
}

interface StepPermits {
  readonly tickets: Map<WorkerInstance, Ticket>;
  /** Lives of workers that may not run the step; that never changes. */
  readonly refused: Set<WorkerInstance>;
  asking: boolean;
  /** Not asked again before. */
  pausedUntil: Monotonic;
}

export interface PermitBookOptions {
  /** Undefined where the platform has no such service. */
  readonly service: PermitService | undefined;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Called when tickets have come. */
  readonly onPermits: () => void;
}

export interface PermitWish {
  readonly step: StepRun;
  readonly rule: AdviceRule;
  /** Hosts that could run the step, the best first. */
  readonly hosts: readonly HostLedger[];
}

export class PermitBook {
  private readonly steps = new WeakMap<StepRun, StepPermits>();
  private readonly queue = new PQueue({ concurrency: PERMITS.concurrency });
  private stopped = false;
  private noted = false;

  constructor(private readonly options: PermitBookOptions) {}

  stop(): void {
    this.stopped = true;
    this.queue.clear();
  }

  /** The ticket to start tasks of the step there with now, if there is one. */
  ticketFor(step: StepRun, host: HostLedger): string | undefined {
    const ticket = this.steps.get(step)?.tickets.get(host.instance);
    if (!ticket || !this.isValid(ticket)) return undefined;
    return ticket.ticket;
  }

  /** The worker refused the ticket: it is asked for anew. */
  forget(step: StepRun, host: HostLedger): void {
    this.steps.get(step)?.tickets.delete(host.instance);
  }

  /** Asks for more permits of the step, unless that is under way. */
  want({ step, rule, hosts }: PermitWish): void {
    const { service, clock, logger } = this.options;
    if (!service) {
      if (!this.noted)
        logger.error("permits.no-service", { step: nameOf(step) });
      this.noted = true;
      return;
    }
    const permits = this.permitsOf(step);
    const isPaused = clock.monotonic() < permits.pausedUntil;
    if (permits.asking || isPaused || this.stopped) return;
    if (this.queue.size >= PERMITS.maxQueued) return;
    const instances = this.toName(step, permits, hosts);
    if (instances.length === 0) return;
    permits.asking = true;
    const priority = -step.job.terms.priority;
    void this.queue.add(() => this.ask(service, step, rule, instances), {
      priority,
    });
  }

  private toName(
    step: StepRun,
    permits: StepPermits,
    hosts: readonly HostLedger[],
  ): WorkerInstance[] {
    const most = Math.min(
      PERMIT_LIMITS.maxNamed,
      Math.max(PERMITS.leastNamed, PERMITS.hostsPerTask * step.waiting.size),
    );
    return hosts
      .map(({ instance }) => instance)
      .filter((instance) => {
        if (permits.refused.has(instance)) return false;
        const ticket = permits.tickets.get(instance);
        return !ticket || !this.isValid(ticket);
      })
      .slice(0, most);
  }

  private async ask(
    service: PermitService,
    step: StepRun,
    { decideMs, eachMs }: AdviceRule,
    instances: readonly WorkerInstance[],
  ): Promise<void> {
    const { clock, logger, metrics, onPermits } = this.options;
    const began = clock.monotonic();
    const permits = this.permitsOf(step);
    const takesMs = decideMs + eachMs * instances.length;
    try {
      const answer = await service.ask({
        step: nameOf(step),
        instances,
        timeoutMs: PERMITS.concurrency * takesMs + PERMITS.slackMs,
      });
      this.take(permits, instances, answer, began);
      metrics.count("permit_requests", { result: "answered" });
      metrics.latency("permit_request").record(clock.monotonic() - began);
      logger.info("permits.taken", {
        step: nameOf(step),
        asked: instances.length,
        good: answer.permits.length,
        validMs: answer.validMs,
        tookMs: Math.round(clock.monotonic() - began),
      });
    } catch (err) {
      permits.pausedUntil = clock.monotonic() + PERMITS.retryMs;
      metrics.count("permit_requests", { result: "failed" });
      const error = describeError(err);
      logger.warn("permits.unavailable", { step: nameOf(step), error });
    } finally {
      permits.asking = false;
    }
    if (!this.stopped) onPermits();
  }

  private take(
    { tickets, refused }: StepPermits,
    asked: readonly WorkerInstance[],
    { permits, validMs }: PermitAnswer,
    askedAt: Monotonic,
  ): void {
    const good = new Map<WorkerInstance, Permit>(
      permits.map((permit) => [permit.instance, permit]),
    );
    // Counted from when it was asked for: it cannot be valid for longer.
    const validUntil = askedAt + validMs;
    for (const instance of asked) {
      const permit = good.get(instance);
      if (permit) tickets.set(instance, { ticket: permit.ticket, validUntil });
      else refused.add(instance);
    }
  }

  private isValid({ validUntil }: Ticket): boolean {
    return this.options.clock.monotonic() + PERMITS.marginMs < validUntil;
  }

  private permitsOf(step: StepRun): StepPermits {
    const known = this.steps.get(step);
    if (known) return known;
    const permits: StepPermits = {
      tickets: new Map(),
      refused: new Set(),
      asking: false,
      pausedUntil: -Infinity,
    };
    this.steps.set(step, permits);
    return permits;
  }
}

/** As task ids of the step begin. */
const nameOf = ({ job, occurrence, number }: StepRun): string =>
  `${job.id}.${occurrence}.${number}`;
