/**
 * Moves serving tasks together while filling tasks wait or run beside them. Serving tasks
 * that were placed as their jobs arrived may take more hosts than they need, and stay
 * there for as long as they run.
 *
 * Of each step one task is away at a time, and only while all others are at work.
 */

import { groupBy, type Monotonic } from "@rackspan/common";
import type { ActiveRun, HostState, StepRun } from "@rackspan/jobs";
import type { EngineParts } from "./engineParts.js";
import {
  currentTarget,
  isAtWork,
  planConsolidation,
  type ConsolidationOptions,
  type ServingMove,
} from "./planConsolidation.js";
import type { TargetedTaskPlacer } from "./TargetedTaskPlacer.js";
import { usableHosts } from "./usableHosts.js";

const CONSOLIDATION = {
  /** Filling tasks wait or run beside serving tasks for this long first, milliseconds. */
  crowdedMs: 1_000,
  /** Time after which a plan is tried again if no host could be emptied, milliseconds. */
  retryMs: 1_000,
  /**
   * A serving task is moved only once it and all others of its step have run for this
   * long, milliseconds.
   */
  settledMs: 1_500,
  /** A plan that is not carried out by then is dropped, milliseconds. */
  planMs: 12_000,
  /** One host of this many is emptied at a time; at least one. */
  hostsPerPlan: 16,
  /** A task that was stopped is placed within this time, milliseconds. */
  moveMs: 4_000,
} as const;

/** The moves that empty one host. */
interface Plan {
  readonly madeAt: Monotonic;
  readonly host: HostState;
  /** Moves whose task has not been stopped yet. */
  moves: readonly ServingMove[];
}

interface StartedMove extends ServingMove {
  readonly stoppedAt: Monotonic;
}

export class ServingConsolidator {
  private readonly plans = new Map<string, readonly Plan[]>();
  private underWay: readonly StartedMove[] = [];
  /** When no host could be emptied, by service. */
  private readonly failedAt = new Map<string, Monotonic>();
  /** Since when filling tasks have waited or run beside serving tasks, by service. */
  private readonly crowdedSince = new Map<string, Monotonic>();

  constructor(
    private readonly parts: EngineParts,
    private readonly targets: Pick<TargetedTaskPlacer, "choose">,
  ) {}

  /** Called at each tick of the engine. */
  check(): void {
    const { options } = this.parts;
    const now = options.clock.monotonic();
    if (!options.policy.consolidatesServing) return;
    if (!options.mayDecide() || !options.gate.isOpen(now)) {
      this.plans.clear();
      this.underWay = [];
      return;
    }
    this.recordCrowded(now);
    this.underWay = this.underWay.filter((move) => this.isUnderWay(move, now));
    const { hosts, ejector } = this.parts;
    const { isEvacuated } = options;
    const entries = hosts.all();
    const usable = usableHosts({ entries, ejector, now, isEvacuated });
    for (const [service, { inService }] of usable)
      this.consolidate(service, inService, now);
  }

  private recordCrowded(now: Monotonic): void {
    const crowded = new Set([
      ...this.waitingServices(),
      ...this.mixedServices(),
    ]);
    for (const service of this.crowdedSince.keys())
      if (!crowded.has(service)) this.crowdedSince.delete(service);
    for (const service of crowded)
      if (!this.crowdedSince.has(service)) this.crowdedSince.set(service, now);
  }

  /** Returns the services for which filling tasks wait. */
  private *waitingServices(): Iterable<string> {
    const { jobs, options } = this.parts;
    const now = options.clock.now();
    for (const { job } of jobs.active) {
      for (const { spec, waiting } of job.runnableSteps(now))
        if (spec.filling && waiting.size > 0) yield this.serviceOf(job);
    }
  }

  /** Returns the services with filling tasks beside serving tasks. */
  private *mixedServices(): Iterable<string> {
    for (const { hostState } of this.parts.hosts.all()) {
      const { fillingMilliCores, servingMilliCores } = hostState.allocated;
      if (fillingMilliCores > 0 && servingMilliCores > 0)
        yield hostState.worker.service as string;
    }
  }

  private serviceOf({ accepted, terms }: StepRun["job"]): string {
    const queue = this.parts.options.queueOf(accepted.spec.queue);
    return queue?.service ?? terms.service;
  }

  /** Whether the task of the move is still without its next run. */
  private isUnderWay({ run, stoppedAt }: StartedMove, now: Monotonic): boolean {
    if (now - stoppedAt > CONSOLIDATION.moveMs) return false;
    const current = this.parts.hosts.placementOf(run.task)?.run;
    return current === undefined || current === run;
  }

  private consolidate(
    service: string,
    hosts: readonly HostState[],
    now: Monotonic,
  ): void {
    const plans = (this.plans.get(service) ?? []).filter(
      ({ madeAt }) => now - madeAt < CONSOLIDATION.planMs,
    );
    const { hostsPerPlan } = CONSOLIDATION;
    const maxPlans = Math.max(1, Math.floor(hosts.length / hostsPerPlan));
    while (plans.length < maxPlans && this.mayPlan(service, now)) {
      const plan = this.makePlan(service, hosts, plans, now);
      if (!plan) break;
      plans.push(plan);
    }
    for (const plan of plans) this.carryOut(plan, hosts, plans, now);
    const left = plans.filter(({ moves }) => moves.length > 0);
    this.plans.set(service, left);
  }

  /** Whether filling tasks lack hosts, and the last attempt to make a plan did not just fail. */
  private mayPlan(service: string, now: Monotonic): boolean {
    const since = this.crowdedSince.get(service) ?? Infinity;
    const failedAt = this.failedAt.get(service) ?? -Infinity;
    return (
      now - since >= CONSOLIDATION.crowdedMs &&
      now - failedAt >= CONSOLIDATION.retryMs
    );
  }

  private makePlan(
    service: string,
    hosts: readonly HostState[],
    plans: readonly Plan[],
    now: Monotonic,
  ): Plan | undefined {
    const moves = planConsolidation(this.optionsFor(hosts, plans), (run) =>
      this.mayMove(run, now),
    );
    const [first] = moves;
    if (!first) {
      this.failedAt.set(service, now);
      return undefined;
    }
    const { from: host } = first;
    this.parts.options.logger.info("serving.consolidation", {
      service,
      host: host.host,
      moves: moves.length,
    });
    return { madeAt: now, host, moves };
  }

  private optionsFor(
    hosts: readonly HostState[],
    plans: readonly Plan[],
  ): ConsolidationOptions {
    const planned = plans.flatMap(({ moves }) => moves);
    return {
      hosts,
      underWay: [...this.underWay, ...planned],
      emptying: new Set(plans.map(({ host }) => host)),
    };
  }

  /** Stops the tasks of the plan that may be away now, one of each step. */
  private carryOut(
    plan: Plan,
    hosts: readonly HostState[],
    plans: readonly Plan[],
    now: Monotonic,
  ): void {
    const byStep = groupBy(plan.moves, ({ run }) => run.task.step);
    const left: ServingMove[] = [];
    const otherPlans = plans.filter((other) => other !== plan);
    for (const [, [first, ...others]] of byStep) {
      left.push(...others);
      if (!first || !first.from.has(first.run)) continue;
      if (!this.move(first, this.optionsFor(hosts, otherPlans), now))
        left.push(first);
    }
    plan.moves = left;
  }

  /** @returns whether the task was stopped */
  private move(
    move: ServingMove,
    options: ConsolidationOptions,
    now: Monotonic,
  ): boolean {
    const { run, from } = move;
    const entry = this.parts.hosts.get(from.host);
    if (!entry || !options.hosts.includes(from)) return false;
    if (!this.mayMove(run, now)) return false;
    const to = currentTarget(move, options);
    if (!to) return false;
    this.targets.choose(run.task, to);
    this.underWay = [...this.underWay, { run, from, to, stoppedAt: now }];
    this.parts.options.metrics.count("serving_moves", {});
    this.parts.runStopper.stop(entry, run, "consolidation");
    return true;
  }

  private mayMove({ task }: ActiveRun, now: Monotonic): boolean {
    const { step } = task;
    const { mayMiss, gang, taskCount } = step.spec;
    // Callers that state no number still need a task at work.
    const maxAway = mayMiss ?? taskCount - 1;
    if (gang || maxAway < 1) return false;
    const runs = this.parts.hosts.placedRunsOf(step.tasks);
    return (
      runs.length === step.tasks.length &&
      runs.every(
        ({ run }) =>
          isAtWork(run) && now - run.startedAt >= CONSOLIDATION.settledMs,
      )
    );
  }
}
