/**
 * Knows which hosts may run the steps of queues that require permits, and gets the
 * tickets with which their tasks start. A decision of the permit service never changes,
 * but its tickets expire, possibly before a task can use them. So a task is placed by the
 * decisions, and a ticket is needed only when its start order is sent: a step whose
 * tickets have expired places tasks first and then requests tickets for exactly their
 * hosts. At most one step at a time occupies resources that way.
 */

import type { Clock, Logger, Metrics, WorkerInstance } from "@rackspan/common";
import type { HostState, StepRun } from "@rackspan/jobs";
import {
  PERMIT_LIMITS,
  type PermitResponse,
  type PermitService,
} from "@rackspan/ports";
import type { PermitRule } from "@rackspan/state";
import { PermitCaller } from "./PermitCaller.js";
import { PermitTurns } from "./PermitTurns.js";
import { StepPermits, type PermitState } from "./StepPermits.js";

const PERMIT_REQUESTS = {
  /** Hosts named per waiting task, since the service refuses some of them. */
  hostsPerTask: 3,
  /** Minimum number of hosts named, if there are as many. */
  minHosts: 8,
} as const;

export interface PermitTrackerOptions {
  /** Undefined if the platform has no permit service. */
  readonly service: PermitService | undefined;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Returns the workers of the step's placed tasks whose start orders wait for tickets. */
  readonly workersWithoutTicket: (step: StepRun) => readonly WorkerInstance[];
  /** Called when the tickets arrived that start orders of the step wait for. */
  readonly onTicketsIssued: (step: StepRun) => void;
  /** Called when start orders of the step wait for tickets and the service fails. */
  readonly onTicketsUnavailable: (step: StepRun) => void;
  /** Requests a scheduling cycle soon. */
  readonly requestCycle: () => void;
}

export interface StepPermitRequest {
  readonly step: StepRun;
  readonly rule: PermitRule;
  /** Hosts that could run the step, the best first. */
  readonly hosts: readonly HostState[];
  /** Whether one of them that may run the step has enough free resources, but no ticket. */
  readonly isBlockedByTicket: boolean;
}

interface NextCall {
  readonly step: StepRun;
  readonly instances: readonly WorkerInstance[];
  /** Whether placed tasks wait for the tickets. */
  readonly isAwaited: boolean;
}

export class PermitTracker {
  private readonly permitsByStep = new WeakMap<StepRun, StepPermits>();
  private readonly rules = new WeakMap<StepRun, PermitRule>();
  private readonly turns: PermitTurns;
  /** Undefined if the platform has no permit service. */
  private readonly caller: PermitCaller | undefined;
  /** Requests that were made in the current scheduling cycle, or in the last one. */
  private requests = new Map<StepRun, StepPermitRequest>();
  /** Steps that an expired ticket kept from a host in the last scheduling cycle. */
  private blockedBefore: ReadonlySet<StepRun> = new Set();
  /** Steps with placed tasks whose start orders wait for tickets. */
  private readonly awaiting = new Set<StepRun>();
  /** The step that may place tasks without tickets in the current scheduling cycle. */
  private placingFirst: StepRun | undefined;
  /** Whether placed tasks waited for the tickets of the last request. */
  private wasLastAwaited = false;
  private stopped = false;
  private hasLoggedNoService = false;

  constructor(private readonly options: PermitTrackerOptions) {
    const { service, clock } = options;
    this.turns = new PermitTurns(clock);
    if (service) this.caller = new PermitCaller({ ...options, service });
  }

  stop(): void {
    this.stopped = true;
  }

  /** Chooses the step that may place tasks without tickets in this scheduling cycle. */
  startCycle(): void {
    this.dropSettled();
    const isNext =
      this.mayCall() &&
      this.isAvailable &&
      this.awaiting.size === 0 &&
      !(this.wasLastAwaited && this.nextRequest() !== undefined);
    this.blockedBefore = this.blockedSteps();
    this.placingFirst = isNext
      ? this.turns.first(this.blockedBefore)
      : undefined;
    this.requests = new Map();
  }

  /** Sends the next request, with what the steps requested during the cycle. */
  endCycle(): void {
    const { placingFirst } = this;
    this.placingFirst = undefined;
    if (placingFirst && !this.awaiting.has(placingFirst))
      this.turns.moveToEnd(placingFirst);
    this.dropSettled();
    this.turns.retain(new Set([...this.requests.keys(), ...this.awaiting]));
    if (!this.mayCall()) return;
    const call = this.nextCall();
    if (call) void this.send(call);
  }

  /** Whether tasks of the step may be placed on the host now. */
  mayPlaceOn(step: StepRun, host: HostState): boolean {
    const state = this.stateOf(step, host);
    if (state === "no-ticket") return step === this.placingFirst;
    return state === "permitted";
  }

  stateOf(step: StepRun, { instance }: HostState): PermitState {
    const now = this.options.clock.monotonic();
    return this.permitsOf(step).stateOf(instance, now);
  }

  /** Returns the ticket with which tasks of the step may start on the host now. */
  ticketFor(step: StepRun, { instance }: HostState): string | undefined {
    const now = this.options.clock.monotonic();
    return this.permitsOf(step).ticketFor(instance, now);
  }

  /** Discards a ticket that the worker refused, so that a new one is requested. */
  discardTicket(step: StepRun, { instance }: HostState): void {
    this.permitsOf(step).discardTicket(instance);
  }

  /** Notes that start orders of the step wait for tickets. */
  awaitTickets(step: StepRun): void {
    if (this.awaiting.has(step)) return;
    this.awaiting.add(step);
    this.turns.add(step);
    this.options.requestCycle();
  }

  /** Notes in a scheduling cycle that tasks of the step wait for a permitted host. */
  request(req: StepPermitRequest): void {
    const { step, rule } = req;
    if (!this.caller) {
      this.logNoService(step);
      return;
    }
    this.rules.set(step, rule);
    this.requests.set(step, req);
    this.turns.add(step);
    // It may have its turn in the next cycle.
    if (req.isBlockedByTicket && !this.blockedBefore.has(step))
      this.options.requestCycle();
  }

  /** Logged once: without a service, steps that require a permit never start. */
  private logNoService(step: StepRun): void {
    if (this.hasLoggedNoService) return;
    this.hasLoggedNoService = true;
    this.options.logger.error("permits.no-service", { step: stepNameOf(step) });
  }

  private mayCall(): boolean {
    return !this.stopped && this.caller?.isReady === true;
  }

  private get isAvailable(): boolean {
    return this.caller?.isAvailable === true;
  }

  private blockedSteps(): ReadonlySet<StepRun> {
    const blocked = [...this.requests.values()].filter(
      ({ isBlockedByTicket }) => isBlockedByTicket,
    );
    return new Set(blocked.map(({ step }) => step));
  }

  /** Forgets steps whose start orders do not wait for tickets any more. */
  private dropSettled(): void {
    for (const step of this.awaiting) {
      if (this.options.workersWithoutTicket(step).length === 0)
        this.awaiting.delete(step);
    }
  }

  /**
   * Placed tasks come first, since they occupy resources. Steps without a decision take
   * turns with them, so that neither kind keeps the service to itself.
   */
  private nextCall(): NextCall | undefined {
    const requested = this.nextRequest();
    if (this.wasLastAwaited && requested) return requested;
    const step = this.turns.first(this.awaiting);
    if (!step) return requested;
    const instances = this.options
      .workersWithoutTicket(step)
      .slice(0, PERMIT_LIMITS.maxWorkersPerRequest);
    return { step, instances, isAwaited: true };
  }

  private nextRequest(): NextCall | undefined {
    const calls = new Map(
      [...this.requests.values()]
        .map((req) => [req.step, this.workersToName(req)] as const)
        .filter(([, instances]) => instances.length > 0),
    );
    const step = this.turns.first(calls.keys());
    const instances = step && calls.get(step);
    return instances && { step, instances, isAwaited: false };
  }

  /** Returns the workers for which the step needs an answer, up to a useful number. */
  private workersToName({ step, hosts }: StepPermitRequest): WorkerInstance[] {
    const limit = Math.min(
      PERMIT_LIMITS.maxWorkersPerRequest,
      Math.max(
        PERMIT_REQUESTS.minHosts,
        PERMIT_REQUESTS.hostsPerTask * step.waiting.size,
      ),
    );
    return hosts
      .filter((host) => {
        const state = this.stateOf(step, host);
        // A service that fails must not keep resources occupied: it is asked for tickets
        // without tasks that wait for them.
        if (state === "no-ticket") return !this.isAvailable;
        return state === "undecided";
      })
      .map(({ instance }) => instance)
      .slice(0, limit);
  }

  private async send(next: NextCall): Promise<void> {
    const { clock, onTicketsIssued, onTicketsUnavailable } = this.options;
    const { step, instances, isAwaited } = next;
    const sentAt = clock.monotonic();
    const waitedMs = this.turns.waitedMs(step);
    this.wasLastAwaited = isAwaited;
    const response = await this.caller?.call({
      step: stepNameOf(step),
      instances,
      processingMs: this.processingMs(next),
    });
    this.turns.moveToEnd(step);
    if (this.stopped) return;
    if (response) {
      const now = clock.monotonic();
      this.permitsOf(step).applyResponse(instances, response, now);
      this.logResponse(next, response, { waitedMs, tookMs: now - sentAt });
      if (this.awaiting.has(step)) onTicketsIssued(step);
    } else {
      for (const each of this.awaiting) onTicketsUnavailable(each);
    }
    this.options.requestCycle();
  }

  /** Time that the service takes for the call by the queue's rule, milliseconds. */
  private processingMs({ step, instances }: NextCall): number {
    const rule = this.rules.get(step);
    return rule ? rule.decideMs + rule.eachMs * instances.length : 0;
  }

  private logResponse(
    { step, instances, isAwaited }: NextCall,
    { permits, validMs }: PermitResponse,
    {
      waitedMs,
      tookMs,
    }: { readonly waitedMs: number; readonly tookMs: number },
  ): void {
    const { logger, metrics } = this.options;
    metrics.latency("permit_turn").record(waitedMs);
    logger.info("permits.taken", {
      step: stepNameOf(step),
      asked: instances.length,
      permitted: permits.length,
      placed: isAwaited ? true : undefined,
      validMs,
      waitedMs: Math.round(waitedMs),
      tookMs: Math.round(tookMs),
    });
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
