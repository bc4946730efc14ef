/**
 * Starts waiting tasks on hosts with free resources, in the order that the plug-in for
 * the order of work returns.
 */

import { groupBy, type Monotonic, type RunNumber } from "@rackspan/common";
import type { HostState, JobRun, JobTask, StepRun } from "@rackspan/jobs";
import type { OutlierEjector } from "@rackspan/routing";
import type { PermitRule, JobTerms, QueueSpec } from "@rackspan/state";
import { IsolatedStartQueue } from "./IsolatedStartQueue.js";
import { reportFillingAssignment } from "./reportFillingAssignment.js";
import { ForcedStarts } from "./ForcedStarts.js";
import { FillingBatches } from "./FillingBatches.js";
import { chooseGangHosts } from "./chooseGangHosts.js";
import { ENGINE, type EngineOptions, type TrackedJob } from "./engineTypes.js";
import { CycleHostFilter, isOverdueLasting } from "./CycleHostFilter.js";
import type { HostRegistry } from "./HostRegistry.js";
import type { PermitTracker } from "./PermitTracker.js";
import { SchedulingCycleTimer } from "./SchedulingCycleTimer.js";
import { OrderLimiter } from "./OrderLimiter.js";
import { knownPlacementOf } from "./PlacementLog.js";
import { mayIsolate, pickIsolatedHost } from "./pickIsolatedHost.js";
import type { RunWriteAheadLog } from "./RunWriteAheadLog.js";
import type { RunStarter } from "./RunStarter.js";
import { sortForTakeover } from "./sortForTakeover.js";
import type { StepWaitMonitor } from "./StepWaitMonitor.js";
import type { Candidate, StepOrder } from "./stepOrders.js";
import {
  fitsInto,
  freeCapacityOf,
  isAllowedOn,
  unreservedMilliCores,
  type TaskPlacer,
} from "./taskPlacers.js";
import { NO_HOSTS, usableHosts, type ServiceHosts } from "./usableHosts.js";

export interface DispatcherOptions {
  readonly engine: EngineOptions;
  readonly hosts: HostRegistry;
  readonly runStarter: RunStarter;
  readonly order: StepOrder;
  readonly placer: TaskPlacer;
  readonly ejector: OutlierEjector;
  readonly permitTracker: PermitTracker;
  readonly runLog: RunWriteAheadLog;
  readonly waits: StepWaitMonitor;
  /**
   * Jobs that may have tasks to start. A scheduling cycle removes those that have none.
   */
  readonly active: Set<TrackedJob>;
}

export class Dispatcher {
  private readonly timer: SchedulingCycleTimer;
  private readonly hostFilter: CycleHostFilter;
  private readonly isolatedStarts = new IsolatedStartQueue();
  private readonly forcedStarts: ForcedStarts;
  /** Undefined if this leader records no placements. */
  private readonly orderLimiter: OrderLimiter | undefined;
  /** When a scheduling cycle first found the takeover gate open. */
  private gateOpenAt: Monotonic | undefined;
  /** Usable hosts by service, computed at the start of each scheduling cycle. */
  private hostsByService: ReturnType<typeof usableHosts> = new Map();

  constructor(private readonly options: DispatcherOptions) {
    const { clock, logger } = options.engine;
    this.timer = new SchedulingCycleTimer({
      clock,
      logger,
      runCycle: () => this.runCycle(),
    });
    this.hostFilter = new CycleHostFilter(clock);
    this.forcedStarts = new ForcedStarts(options.hosts);
    const { recordsPlacements } = this.options.engine.policy;
    this.orderLimiter = recordsPlacements ? new OrderLimiter() : undefined;
  }

  /** See SchedulingCycleTimer. */
  requestCycle(): void {
    this.timer.request();
  }

  /** See SchedulingCycleTimer. */
  runCycleIfOverdue(): void {
    this.timer.runIfOverdue();
  }

  /** Requests a cycle if tasks may have waited for the answer to an order. */
  handleOrderAnswered(): void {
    if (this.orderLimiter?.isHoldingBack) this.requestCycle();
  }

  private runCycle(): void {
    const { engine, order, hosts, ejector, waits } = this.options;
    if (!engine.mayDecide()) return;
    const startedAt = engine.clock.monotonic();
    this.hostFilter.startCycle();
    this.isolatedStarts.startCycle(startedAt);
    const now = engine.clock.now();
    this.orderLimiter?.startCycle(hosts.all(), startedAt);
    this.options.permitTracker.startCycle();
    const sorted = order.sort(this.candidates(now), now);
    const candidates = this.isTakingOver(startedAt)
      ? sortForTakeover(sorted)
      : sorted;
    this.hostsByService = usableHosts({
      entries: hosts.all(),
      ejector,
      now: engine.clock.monotonic(),
      isEvacuated: engine.isEvacuated,
    });
    const fillingBatches = engine.policy.assignsFillingJointly
      ? new FillingBatches(candidates)
      : undefined;
    const waitingBefore = candidates.map(({ step }) => step.waiting.size);
    waits.recordCandidates(candidates, startedAt);
    for (const candidate of candidates) {
      const batch = fillingBatches?.startingWith(candidate) ?? [];
      if (batch.length > 0) this.assignFilling(batch);
      this.placeStep(candidate, this.hostsOf(candidate.job));
    }
    waits.recordPlacements(candidates, waitingBefore, startedAt);
    this.options.permitTracker.endCycle();
    engine.metrics
      .latency("dispatch_pass")
      .record(engine.clock.monotonic() - startedAt);
  }

  /** Whether tasks that waited for the takeover may be among the candidates. */
  private isTakingOver(now: Monotonic): boolean {
    const { gate, policy } = this.options.engine;
    if (!policy.recordsPlacements) return false;
    if (this.gateOpenAt === undefined && gate.isOpen(now))
      this.gateOpenAt = now;
    const openAt = this.gateOpenAt ?? Infinity;
    return now < openAt + ENGINE.takeoverOrderMs;
  }

  /** Returns those of the hosts on which tasks of the step may start now. */
  private hostsOpenTo(
    step: StepRun,
    hosts: readonly HostState[],
  ): readonly HostState[] {
    const open = this.hostFilter.hostsOpenTo(step, hosts);
    const { orderLimiter } = this;
    if (!orderLimiter) return open;
    // A lasting task would stay on another host for as long as it runs.
    if (step.spec.lasting) return orderLimiter.selectAwaited(open);
    return orderLimiter.select(open);
  }

  private candidates(now: number): Candidate[] {
    const { engine, active } = this.options;
    const monotonic = engine.clock.monotonic();
    const candidates: Candidate[] = [];
    for (const tracked of active) {
      const { job, firstSeenAt } = tracked;
      const steps = job.runnableSteps(now);
      if (steps.length === 0) {
        if (job.nextDueAt(now) === undefined) active.delete(tracked);
        continue;
      }
      const open = steps.filter((step) =>
        this.mayStartAny(step, firstSeenAt, monotonic),
      );
      if (open.length === 0) continue;
      if (this.options.hosts.hasRunsOf(job)) tracked.lastRunSeenAt = monotonic;
      const isStarved = monotonic - tracked.lastRunSeenAt > ENGINE.starvedMs;
      candidates.push(...open.map((step) => ({ job, step, isStarved })));
    }
    return candidates;
  }

  /** Whether the takeover gate allows at least one task of the step to start. */
  private mayStartAny(
    step: StepRun,
    firstSeenAt: Monotonic,
    now: Monotonic,
  ): boolean {
    const { gate } = this.options.engine;
    if (step.job.placementEpoch === undefined)
      return gate.mayStart(firstSeenAt, now);
    for (const task of step.waiting) {
      if (gate.mayStart(firstSeenAt, now, knownPlacementOf(task))) return true;
    }
    return false;
  }

  /**
   * Clears the host of the task's last start once that run is known to be over. A job whose
   * placements are unknown is a candidate only if all of its tasks may start.
   * @returns whether the task may start elsewhere
   */
  private settlePlacement(task: JobTask): boolean {
    const placement = knownPlacementOf(task);
    if (placement?.host === undefined) return true;
    const { gate, clock } = this.options.engine;
    const now = clock.monotonic();
    if (!gate.mayStart(now, now, placement)) return false;
    // Its last run is over, so the next record need not name the host. Until an announced
    // run is judged, the host shows that it was ordered.
    if (task.writeAheadRun === undefined) task.placedOn = undefined;
    return true;
  }

  /**
   * Returns the current settings of the job's queue, or those at submission if the
   * queue was deleted.
   */
  private termsOf(job: JobRun): QueueSpec | JobTerms {
    return this.options.engine.queueOf(job.accepted.spec.queue) ?? job.terms;
  }

  private hostsOf(job: JobRun): ServiceHosts {
    return this.hostsByService.get(this.termsOf(job).service) ?? NO_HOSTS;
  }

  private placeStep(candidate: Candidate, hosts: ServiceHosts): void {
    const { job, step } = candidate;
    if (job.isEnded) return;
    if (this.options.engine.clock.monotonic() < step.notBefore) return;
    const { permitRule } = this.termsOf(job);
    if (permitRule) this.placePermitted(candidate, hosts, permitRule);
    else this.placeTasks(candidate, hosts);
  }

  /**
   * Assigns the tasks of consecutive filling steps jointly. Tasks that get no host are
   * placed like any other afterwards, so that a starved job gets one started.
   */
  private assignFilling(steps: readonly Candidate[]): void {
    const { placer, runStarter, runLog, engine } = this.options;
    const now = engine.clock.monotonic();
    const isOpen = ({ job, step }: Candidate): boolean =>
      !job.isEnded && now >= step.notBefore && !this.termsOf(job).permitRule;
    const byHosts = groupBy(steps.filter(isOpen), ({ job }) =>
      this.hostsOf(job),
    );
    for (const [{ inService }, group] of byHosts) {
      const tasks = group.flatMap(({ step }) =>
        [...step.waiting].filter(
          (task) => this.settlePlacement(task) && !runLog.needsRecord(task),
        ),
      );
      const usable = inService.filter((host) => !host.hasIsolatedRun);
      const open = this.orderLimiter?.select(usable) ?? usable;
      const placements = placer.assignFilling?.(tasks, open) ?? [];
      reportFillingAssignment(engine, { tasks, hosts: open, placements, now });
      for (const { task, host } of placements) {
        const isFull = this.orderLimiter?.select([host]).length === 0;
        if (!isFull) this.startOn(host, task, runStarter.nextRunNumber());
      }
    }
  }

  /**
   * Places as many tasks as possible on permitted hosts, and requests permits and tickets
   * if tasks are left.
   */
  private placePermitted(
    candidate: Candidate,
    { inService, ejected }: ServiceHosts,
    rule: PermitRule,
  ): void {
    const { permitTracker } = this.options;
    const { step } = candidate;
    const permitted = {
      inService: this.permittedHosts(step, inService),
      ejected: this.permittedHosts(step, ejected),
    };
    const isAnyPermitted = Object.values(permitted).some(
      ({ length }) => length,
    );
    if (isAnyPermitted) this.placeTasks(candidate, permitted);
    if (step.waiting.size === 0) return;
    const wanted = [...inService, ...this.lastResortHosts(step, ejected)];
    const eligible = eligibleHosts(step, wanted);
    permitTracker.request({
      step,
      rule,
      hosts: eligible,
      isBlockedByTicket: this.isBlockedByTicket(step, eligible),
    });
  }

  private permittedHosts(
    step: StepRun,
    hosts: readonly HostState[],
  ): readonly HostState[] {
    const { permitTracker } = this.options;
    return hosts.filter((host) => permitTracker.mayPlaceOn(step, host));
  }

  /** Whether the step's next task fits on a permitted host whose ticket has expired. */
  private isBlockedByTicket(
    step: StepRun,
    hosts: readonly HostState[],
  ): boolean {
    const { permitTracker } = this.options;
    const [task] = step.waiting;
    if (!task) return false;
    return this.hostsOpenTo(step, hosts).some(
      (host) =>
        permitTracker.stateOf(step, host) === "no-ticket" &&
        fitsInto(task, freeCapacityOf(host)),
    );
  }

  private placeTasks(
    candidate: Candidate,
    { inService: hosts, ejected }: ServiceHosts,
  ): void {
    const { job, step } = candidate;
    if (step.spec.gang) {
      this.placeGang(step, hosts);
      return;
    }
    const { placer, runStarter, runLog } = this.options;
    let openHosts = this.hostsOpenTo(step, hosts);
    let isUnplaced = false;
    for (const task of [...step.waiting]) {
      if (!this.settlePlacement(task)) continue;
      if (runLog.needsRecord(task)) {
        if (this.placeOverdue(job)) openHosts = this.hostsOpenTo(step, hosts);
        if (job.isEnded) return;
        if (!step.waiting.has(task)) continue;
        let outcome = this.placeIsolated(task, openHosts);
        if (outcome === "no-host") {
          const ejectedHosts = this.lastResortHosts(step, ejected);
          if (ejectedHosts.length > 0)
            outcome = this.placeIsolated(task, ejectedHosts);
        }
        if (outcome === "no-host" && !this.isHeldBack(task, hosts, false))
          isUnplaced = true;
        // No other task may start on the host of an isolated run.
        if (outcome === "placed") openHosts = this.hostsOpenTo(step, hosts);
        if (job.isEnded) return;
        continue;
      }
      const wanted = placer.pick(task, openHosts, false);
      const mustPlace = !wanted && this.mustPlace(candidate, hosts);
      const host =
        wanted ??
        (mustPlace ? placer.pick(task, openHosts, true) : undefined) ??
        placer.pick(task, this.lastResortHosts(step, ejected), mustPlace);
      // All tasks of a step have the same demand, but each avoids the hosts on which it
      // failed.
      if (!host) {
        if (!this.isHeldBack(task, hosts, mustPlace))
          this.hostFilter.recordUnplaced(step, hosts);
        return;
      }
      if (this.orderLimiter?.select([host]).length === 0) return;
      if (mustPlace) this.recordForcedStart(task, host, hosts);
      this.startOn(host, task, runStarter.nextRunNumber());
      // Filtering all hosts after each start took 39 to 100 ms per 1,000 starts at 1,400
      // hosts.
      if (this.orderLimiter?.isFull(host))
        openHosts = this.hostsOpenTo(step, openHosts);
    }
    if (isUnplaced) this.hostFilter.recordUnplaced(step, hosts);
    else step.unplacedSince = undefined;
  }

  /**
   * Whether a task that the placer gives no host is started although it disturbs others,
   * or uses resources that are reserved for others.
   */
  private mustPlace(
    { job, step, isStarved }: Candidate,
    hosts: readonly HostState[],
  ): boolean {
    const { engine, hosts: registry } = this.options;
    if (step.spec.lasting)
      return isOverdueLasting(step, engine.clock.monotonic());
    if (!isStarved || registry.hasRunsOf(job)) return false;
    return !step.spec.filling || this.forcedStarts.mayStart(hosts);
  }

  /** Records that the task starts on a host that the placer would otherwise refuse. */
  private recordForcedStart(
    task: JobTask,
    host: HostState,
    hosts: readonly HostState[],
  ): void {
    const { engine, placer } = this.options;
    const reason = placer.refusalOf?.(task, host, hosts);
    if (!reason) return;
    if (task.step.spec.filling) this.forcedStarts.record(task);
    engine.metrics.count("forced_starts", { reason });
    engine.logger.info("start.forced", {
      task: task.id,
      host: host.host,
      reason,
    });
  }

  /**
   * Whether the task has no host only because of the open orders of a host. That host has
   * room for it, so no other host need be emptied and no ejected one used.
   */
  private isHeldBack(
    task: JobTask,
    hosts: readonly HostState[],
    mustPlace: boolean,
  ): boolean {
    const { orderLimiter, hostFilter, options } = this;
    if (!orderLimiter?.isHoldingBack || task.step.spec.lasting) return false;
    const full = hostFilter
      .hostsOpenTo(task.step, hosts)
      .filter((host) => orderLimiter.isFull(host));
    return options.placer.pick(task, full, mustPlace) !== undefined;
  }

  /** Returns ejected hosts that the step may use although they are ejected. */
  private lastResortHosts(
    step: StepRun,
    ejected: readonly HostState[],
  ): readonly HostState[] {
    if (!isOverdueLasting(step, this.options.engine.clock.monotonic()))
      return [];
    return this.hostsOpenTo(step, ejected);
  }

  /**
   * Starts a task under which a worker has crashed. The run is recorded in the
   * write-ahead log first, and starts on the host where the fewest other runs would be
   * lost if it crashes that worker, too.
   * @returns `not-now` while the task waits for the crash evidence to be judged, for
   *   its write-ahead record or for its turn
   */
  private placeIsolated(
    task: JobTask,
    openHosts: readonly HostState[],
  ): "placed" | "not-now" | "no-host" {
    const { runLog, hosts: hostRegistry, placer, engine } = this.options;
    const now = engine.clock.monotonic();
    if (now < task.notBefore) return "not-now";
    const run = runLog.recordedRunFor([task]);
    if (run === undefined || task.step.job.isEnded) return "not-now";
    this.isolatedStarts.enqueue(task, now);
    // A lasting task has lost its only run, and its users need a new one soon.
    const { lasting } = task.step.spec;
    const takesTurn = lasting || this.isolatedStarts.hasWaitedLong(task, now);
    const isIsolated = mayIsolate(openHosts, hostRegistry.all(), takesTurn);
    // A lasting task may share a host if no further host may be reserved and none of
    // its runs crashed a worker just after its start.
    const mayShare = lasting && task.crashLog.hasNoCrashAtStart;
    if (!isIsolated && !mayShare) return "not-now";
    const host = pickIsolatedHost({
      task,
      openHosts,
      placer,
      mustPlace: takesTurn,
    });
    if (!host) return isIsolated ? "no-host" : "not-now";
    this.startOn(host, task, run, isIsolated);
    return "placed";
  }

  /**
   * Before a suspect task of this job gets its turn, places overdue suspect tasks with
   * the same priority and service.
   * @returns whether any was placed
   */
  private placeOverdue(job: JobRun): boolean {
    const { priority } = job.terms;
    const { service } = this.termsOf(job);
    const competes = (other: JobRun): boolean =>
      other.terms.priority === priority &&
      this.termsOf(other).service === service;
    const { inService: hosts } = this.hostsOf(job);
    let isAnyPlaced = false;
    for (const task of this.isolatedStarts.takeOverdue(({ step }) =>
      competes(step.job),
    )) {
      const { step } = task;
      if (this.options.engine.clock.monotonic() < step.notBefore) continue;
      const { permitRule } = this.termsOf(step.job);
      const allowed = permitRule ? this.permittedHosts(step, hosts) : hosts;
      const openHosts = this.hostsOpenTo(step, allowed);
      if (this.placeIsolated(task, openHosts) === "placed") isAnyPlaced = true;
    }
    return isAnyPlaced;
  }

  /** Starts all tasks of the step under one run number, or none. */
  private placeGang(step: StepRun, hosts: readonly HostState[]): void {
    const waiting = [...step.waiting];
    if (waiting.length < step.tasks.length - step.doneCount) return;
    // The end of a run of one member would count for all of them.
    if (!waiting.every((task) => this.settlePlacement(task))) return;
    const openHosts = this.hostsOpenTo(step, hosts);
    const chosen = chooseGangHosts(step, waiting, openHosts);
    if (!chosen) return;
    const runNumber = this.options.runLog.recordedRunFor(waiting);
    if (runNumber === undefined || step.job.isEnded) return;
    step.job.shareCheckpoint(step);
    for (const [task, host] of chosen) this.startOn(host, task, runNumber);
  }

  /** @param isIsolated whether a suspect task gets an isolated start */
  private startOn(
    host: HostState,
    task: JobTask,
    runNumber: RunNumber,
    isIsolated = false,
  ): void {
    const { hosts, runStarter, runLog } = this.options;
    const entry = hosts.get(host.host);
    const needsTicket = this.termsOf(task.step.job).permitRule !== undefined;
    runLog.markOrdered(task);
    this.isolatedStarts.remove(task);
    this.orderLimiter?.recordOrder(host);
    const isolationMs = isIsolated ? task.crashLog.isolationMs : 0;
    if (entry)
      runStarter.start(entry, task, runNumber, { needsTicket, isolationMs });
  }
}

/**
 * Returns the hosts that could run the step's first waiting task, those with the most
 * unreserved processor time first.
 */
const eligibleHosts = (
  step: StepRun,
  hosts: readonly HostState[],
): readonly HostState[] => {
  const [task] = step.waiting;
  if (!task) return [];
  return hosts
    .filter((host) => isAllowedOn(task, host))
    .sort((a, b) => unreservedMilliCores(b) - unreservedMilliCores(a));
};
