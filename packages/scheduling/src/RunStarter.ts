/** Orders hosts to start runs, and processes their answers. */

import {
  describeError,
  MILLI_CORES_PER_CORE,
  type Monotonic,
  type RunNumber,
  type WorkerInstance,
  type WorkerTime,
} from "@rackspan/common";
import { latestLeaseExpiry } from "@rackspan/leadership";
import {
  MeanPace,
  avoidHost,
  interferenceProfileOf,
  markSeen,
  type ActiveRun,
  type HostState,
  type JobRun,
  type JobTask,
  type StepRun,
} from "@rackspan/jobs";
import { StoreRefusedError, type StartRefusal } from "@rackspan/ports";
import { FULL_PACE, type HostCallResult } from "@rackspan/protocol";
import {
  ENGINE,
  type EngineOptions,
  type HostEntry,
  type PlacedRun,
} from "./engineTypes.js";
import type { FirstStartMonitor } from "./FirstStartMonitor.js";
import type { JobBeginRecorder } from "./JobBeginRecorder.js";
import type { HostRegistry } from "./HostRegistry.js";
import type { PermitTracker } from "./PermitTracker.js";
import type { PlacementLog } from "./PlacementLog.js";
import type { StepWaitMonitor } from "./StepWaitMonitor.js";
import type { TailForecast } from "./TailForecast.js";
import { orderBlockedReason } from "./usableHosts.js";

export interface RunStarterOptions extends EngineOptions {
  readonly hosts: HostRegistry;
  readonly forecast: TailForecast;
  readonly permitTracker: PermitTracker;
  readonly firstStarts: FirstStartMonitor;
  readonly waits: StepWaitMonitor;
  readonly begins: JobBeginRecorder;
  /** Undefined if this leader records no placements. */
  readonly placementLog: PlacementLog | undefined;
  /** Called when a host has answered a start order, or has not in time. */
  readonly onOrderAnswered: () => void;
  /** Called when a task of the job waits again. */
  readonly onTaskWaiting: (job: JobRun) => void;
  /**
   * Called when the answer to an order shows that a run that was counted as lost never
   * started.
   */
  readonly onNeverStarted: (run: ActiveRun) => void;
}

/** Options for the start of a run. */
export interface RunStartOptions {
  /** Whether the queue requires a permit, so that the order needs a ticket. */
  readonly needsTicket: boolean;
  /** For how long no other run may start on the same host, milliseconds. */
  readonly isolationMs: number;
}

/** What the order of an unsent run needs. */
interface UnsentOrder {
  readonly needsTicket: boolean;
  /** Pace at which the task starts, percent. */
  readonly firstPercent: number;
  /** Whether the placement is persisted, if it is recorded at all. */
  isRecorded: boolean;
}

/** Fields of a start order beside the task. */
interface StartOrderFields {
  readonly ticket: string | undefined;
  readonly firstPercent: number;
}

/** Result of a start order. */
interface StartAnswer {
  readonly result: HostCallResult;
  readonly sentAt: Monotonic;
  /** Whether the run was still waiting for the answer. */
  readonly isAwaited: boolean;
}

/** Answers to a start order which show that the run has not started and never will. */
const NEVER_STARTED: readonly HostCallResult["kind"][] = [
  "refused",
  "replaced",
  "draining",
];

export class RunStarter {
  private startedRuns = 0;
  private readonly unsentOrders = new WeakMap<ActiveRun, UnsentOrder>();
  private unrecordedLoggedAt: Monotonic = -Infinity;

  constructor(private readonly options: RunStarterOptions) {}

  nextRunNumber(): RunNumber {
    this.startedRuns += 1;
    const { epoch } = this.options;
    return (epoch * ENGINE.runsPerEpoch +
      this.startedRuns) as unknown as RunNumber;
  }

  start(
    host: HostEntry,
    task: JobTask,
    runNumber: RunNumber,
    { needsTicket, isolationMs }: RunStartOptions,
  ): void {
    const { clock, hosts, permitTracker, placementLog } = this.options;
    const now = clock.monotonic();
    const { hostState } = host;
    const run: ActiveRun = {
      task,
      run: runNumber,
      phase: "unsent",
      startedAt: now,
      isolationMs,
      firstSeenAt: undefined,
      lastSeenAt: undefined,
      orderExpiresAt: Infinity as unknown as WorkerTime,
      progressPercent: 0,
      progressedAt: now,
      reading: 0,
      meanPace: new MeanPace(),
      crawlingSince: undefined,
      stop: undefined,
    };
    // Computed before the run is added to the host, because the forecast counts the
    // runs that are placed there.
    const firstPercent = this.firstPercent(hostState, task);
    if (!hosts.place(host, run)) {
      this.logAlreadyPlaced(host, run);
      return;
    }
    this.options.firstStarts.recordPlacement(task.step.job);
    const order = { needsTicket, firstPercent, isRecorded: false };
    this.unsentOrders.set(run, order);
    // The ticket is requested while the placement is being recorded.
    if (this.lacksTicket({ host, run })) permitTracker.awaitTickets(task.step);
    if (!placementLog && !needsTicket) {
      this.sendOrder(host, run, this.orderFields(host, run));
      return;
    }
    // Without a record the order waits until all members of a gang are placed.
    const recorded = placementLog?.record(task) ?? Promise.resolve();
    recorded.then(
      () => this.sendRecorded(run, order),
      (err: unknown) => this.handleUnrecorded(host, run, err),
    );
  }

  private sendRecorded(run: ActiveRun, order: UnsentOrder): void {
    order.isRecorded = true;
    this.sendIfReady(run);
  }

  /**
   * Sends the order of a run whose placement is persisted, with those of its gang, if the
   * runs are still wanted there and this process still decides. Otherwise none of these
   * orders is ever sent. While tickets are missing, the orders wait for them.
   */
  private sendIfReady(run: ActiveRun): void {
    const { hosts, permitTracker } = this.options;
    // The first member of a gang sends, or withdraws, the runs of all.
    if (!hosts.isCurrent(run) || run.phase !== "unsent") return;
    const unsent = this.unsentRunsWith(run);
    const reason = this.reasonToWithdraw(run, unsent);
    if (reason) {
      for (const { host, run: member } of unsent)
        this.withdraw(host, member, reason);
      return;
    }
    if (unsent.some((placed) => this.lacksTicket(placed))) {
      permitTracker.awaitTickets(run.task.step);
      return;
    }
    for (const { host, run: member } of unsent)
      this.sendOrder(host, member, this.orderFields(host, member));
  }

  /** Returns the run, and the unsent runs of its gang. */
  private unsentRunsWith({ task }: Pick<ActiveRun, "task">): PlacedRun[] {
    const { tasks, spec } = task.step;
    return this.unsentRunsOf(spec.gang ? tasks : [task]);
  }

  private unsentRunsOf(tasks: Iterable<JobTask>): PlacedRun[] {
    const placed = this.options.hosts.placedRunsOf(tasks);
    return placed.filter(({ run }) => run.phase === "unsent");
  }

  private lacksTicket({ host, run }: PlacedRun): boolean {
    if (!this.unsentOrders.get(run)?.needsTicket) return false;
    const { permitTracker } = this.options;
    return permitTracker.ticketFor(run.task.step, host.hostState) === undefined;
  }

  /** Returns the workers of placed runs of the step whose orders lack a ticket. */
  workersWithoutTicket({ tasks }: StepRun): readonly WorkerInstance[] {
    const lacking = this.unsentRunsOf(tasks).filter((placed) =>
      this.lacksTicket(placed),
    );
    return [...new Set(lacking.map(({ host }) => host.hostState.instance))];
  }

  /** Sends the orders of the step that waited for tickets only. */
  sendWithTickets({ tasks }: StepRun): void {
    for (const { run } of this.unsentRunsOf(tasks)) {
      if (this.unsentOrders.get(run)?.isRecorded) this.sendIfReady(run);
    }
  }

  /** Withdraws the runs of the step whose orders lack a ticket. */
  withdrawWithoutTickets({ tasks }: StepRun): void {
    for (const placed of this.unsentRunsOf(tasks)) {
      if (this.lacksTicket(placed))
        this.withdrawUnsent(placed.run.task, "no-ticket");
    }
  }

  private reasonToWithdraw(
    { task }: ActiveRun,
    unsent: readonly PlacedRun[],
  ): string | undefined {
    const { mayDecide, clock, isEvacuated } = this.options;
    if (!mayDecide()) return "no-authority";
    // The run of another member was withdrawn, so the gang would start without it.
    const { spec, waiting } = task.step;
    if (spec.gang && waiting.size > 0) return "gang-incomplete";
    const context = { now: clock.monotonic(), isEvacuated };
    for (const { host, run } of unsent) {
      if (this.isRefused(host, run)) return "permit-refused";
      const reason = orderBlockedReason(host, run, context);
      if (reason) return reason;
    }
    return undefined;
  }

  private isRefused({ hostState }: HostEntry, run: ActiveRun): boolean {
    if (!this.unsentOrders.get(run)?.needsTicket) return false;
    const { permitTracker } = this.options;
    return permitTracker.stateOf(run.task.step, hostState) === "refused";
  }

  private orderFields(
    { hostState }: HostEntry,
    run: ActiveRun,
  ): StartOrderFields {
    const { firstPercent = FULL_PACE, needsTicket = false } =
      this.unsentOrders.get(run) ?? {};
    const ticket = needsTicket
      ? this.options.permitTracker.ticketFor(run.task.step, hostState)
      : undefined;
    return { ticket, firstPercent };
  }

  /**
   * Releases a run whose order was not sent and never will be. It leaves no evidence
   * against its task.
   */
  withdraw(host: HostEntry, run: ActiveRun, reason: string): void {
    this.options.metrics.count("placements_unsent", { reason });
    this.returnRun(host, run, `unsent-${reason}`);
  }

  /**
   * Withdraws the run of the task, and those of its gang, if their orders are not sent.
   * @returns whether the task waits again
   */
  withdrawUnsent(task: JobTask, reason: string): boolean {
    const { hosts } = this.options;
    if (hosts.placementOf(task)?.run.phase !== "unsent") return false;
    for (const { host, run } of this.unsentRunsWith({ task }))
      this.withdraw(host, run, reason);
    return true;
  }

  /**
   * If another leader has taken over, the run stays placed, so that this process places
   * the task no more. After any other failure it is withdrawn: its order was never sent.
   */
  private handleUnrecorded(
    host: HostEntry,
    run: ActiveRun,
    err: unknown,
  ): void {
    const { clock, hosts, logger, journal } = this.options;
    const now = clock.monotonic();
    // A refused append concerns many runs; the first one is logged.
    if (now - this.unrecordedLoggedAt >= ENGINE.unrecordedPauseMs) {
      this.unrecordedLoggedAt = now;
      logger.warn("placement.not-recorded", {
        task: run.task.id,
        run: run.run,
        host: host.hostState.host,
        error: describeError(err),
      });
    }
    if (journal.isClosed || !hosts.isCurrent(run)) return;
    run.task.step.notBefore = now + ENGINE.unrecordedPauseMs;
    const isRefused = err instanceof StoreRefusedError;
    this.withdraw(host, run, isRefused ? "store-refused" : "store-failed");
  }

  /** Sends the start order; its lease counts from now. */
  private sendOrder(
    host: HostEntry,
    run: ActiveRun,
    orderFields: StartOrderFields,
  ): void {
    const { clock, leaseMs } = this.options;
    const now = clock.monotonic();
    const { hostState } = host;
    const orderLeaseMs = Math.min(ENGINE.startLeaseMs, leaseMs);
    run.phase = "starting";
    run.startedAt = now;
    run.progressedAt = now;
    run.orderExpiresAt = (workerTimeAt(hostState, now) +
      orderLeaseMs) as WorkerTime;
    hostState.recordOrder(latestLeaseExpiry(now, orderLeaseMs));
    this.options.firstStarts.recordOrder(run.task.step.job);
    void this.orderStart(host, run, orderFields);
  }

  /**
   * Releases a run that is not running and never will, so that its task waits again.
   * @param reason what showed that the run will never start, for logs
   */
  returnRun(host: HostEntry, run: ActiveRun, reason: string): void {
    this.logReturned(host, run, reason);
    if (!this.options.hosts.release(host, run)) return;
    const { task } = run;
    if (task.writeAheadRun === run.run) task.writeAheadRun = undefined;
    if (run.lastSeenAt === undefined) this.recordUnstarted(task);
    this.notifyWaiting(task);
  }

  /** The task has waited all the time although it was placed. */
  private recordUnstarted({ step }: JobTask): void {
    const { hosts, firstStarts, waits } = this.options;
    waits.recordUnstarted(step);
    if (!hosts.hasRunsOf(step.job)) firstStarts.recordUnstarted(step.job);
  }

  /** Notifies the engine that the task has no run any more and may get its next one. */
  notifyWaiting(task: JobTask): void {
    this.options.onTaskWaiting(task.step.job);
  }

  /**
   * Logs the returned run and the run that the task has at that moment. They should be
   * the same.
   */
  private logReturned(host: HostEntry, run: ActiveRun, reason: string): void {
    const { logger, metrics } = this.options;
    metrics.count("runs_given_back", { reason });
    const { phase } = run;
    const fields = { ...this.placementFields(host, run), reason, phase };
    logger.info("task.given-back", fields);
  }

  /** Only a bug in the caller leads here, since a waiting task has no run. */
  private logAlreadyPlaced(host: HostEntry, run: ActiveRun): void {
    const { logger, metrics } = this.options;
    metrics.count("starts_beside_a_run");
    logger.error("task.already-placed", this.placementFields(host, run));
  }

  /** Log fields of a run and of the run that its task has at that moment. */
  private placementFields({ hostState }: HostEntry, { task, run }: ActiveRun) {
    const current = this.options.hosts.placementOf(task);
    return {
      task: task.id,
      run,
      host: hostState.host,
      currentRun: current?.run.run,
      currentHost: current?.host.hostState.host,
    };
  }

  private firstPercent(host: HostState, { step }: JobTask): number {
    const { filling, image, demand } = step.spec;
    if (!filling) return FULL_PACE;
    const cores = demand.milliCores / MILLI_CORES_PER_CORE;
    const share = this.options.forecast.initialPaceShare(host, image, cores);
    return Math.round(FULL_PACE * share);
  }

  private async orderStart(
    host: HostEntry,
    run: ActiveRun,
    orderFields: StartOrderFields,
  ): Promise<void> {
    const { clock, metrics } = this.options;
    const sentAt = clock.monotonic();
    const result = await this.callStart(host, run, orderFields);
    metrics.latency("task_start").record(clock.monotonic() - sentAt);
    metrics.count("task_starts", { result: result.kind });
    const isAwaited = this.awaitsAnswer(run);
    this.logStart(host, run, { result, sentAt, isAwaited });
    if (isAwaited) this.applyStartResult(host, run, result);
    else if (NEVER_STARTED.includes(result.kind))
      this.options.onNeverStarted(run);
    if (result.kind === "ok") this.options.begins.recordRun(run);
    this.options.onOrderAnswered();
  }

  /**
   * Sends the start order. An order without an answer is treated like one to a silent
   * worker.
   */
  private async callStart(
    { hostState, session }: HostEntry,
    { task, run, orderExpiresAt }: ActiveRun,
    orderFields: StartOrderFields,
  ): Promise<HostCallResult> {
    const { epoch, logger } = this.options;
    try {
      if (!session) throw new Error("the host is not attached");
      return await session.startTask({
        instance: hostState.instance,
        epoch,
        task: task.id,
        run,
        spec: task.step.job.accepted.spec.payload,
        leaseUntil: orderExpiresAt,
        checkpoint: task.checkpoint,
        ...orderFields,
        nature: interferenceProfileOf(task),
      });
    } catch (err) {
      logger.warn("task.start-unanswered", {
        task: task.id,
        run,
        host: hostState.host,
        error: describeError(err),
      });
      return { kind: "silent" };
    }
  }

  /**
   * Whether the answer still decides on the run. A run that was lost in the meantime
   * has been handled already.
   */
  private awaitsAnswer(run: ActiveRun): boolean {
    return this.options.hosts.isCurrent(run) && run.phase === "starting";
  }

  private logStart(
    { hostState }: HostEntry,
    { task, run }: ActiveRun,
    { result, sentAt, isAwaited }: StartAnswer,
  ): void {
    const { clock, logger } = this.options;
    logger.info("task.start", {
      task: task.id,
      run,
      host: hostState.host,
      result: result.kind,
      reason: result.kind === "refused" ? result.reason : undefined,
      checkpoint: task.checkpoint === "" ? undefined : task.checkpoint,
      reportAge: Math.round(sentAt - hostState.reportReceivedAt),
      tookMs: Math.round(clock.monotonic() - sentAt),
      passedOver: isAwaited ? undefined : true,
    });
  }

  private applyStartResult(
    host: HostEntry,
    run: ActiveRun,
    result: HostCallResult,
  ): void {
    switch (result.kind) {
      case "ok":
        run.phase = "running";
        markSeen(run, result.at);
        return;
      case "silent":
        run.phase = "unsure";
        return;
      case "replaced":
      case "draining":
        this.pauseHost(host);
        this.returnRun(host, run, `start-${result.kind}`);
        return;
      case "refused":
        if (result.reason === "unhealthy")
          avoidHost(run.task, host.hostState.host);
        this.pauseAfterRefusal(host, run, result.reason);
        this.returnRun(host, run, `start-${result.reason}`);
        return;
    }
  }

  /** Pauses a host that refuses a start, unless it refuses only the step's ticket. */
  private pauseAfterRefusal(
    host: HostEntry,
    { task }: ActiveRun,
    reason: StartRefusal,
  ): void {
    const { clock, permitTracker } = this.options;
    if (reason !== "bad-ticket") {
      this.pauseHost(host);
      return;
    }
    permitTracker.discardTicket(task.step, host.hostState);
    task.step.notBefore = clock.monotonic() + ENGINE.badTicketPauseMs;
  }

  /**
   * Pauses starts on the host. Until its next report the leader has no newer state of
   * the host, and the next scheduling cycle would send the same order again, for some
   * tasks several times before that report.
   */
  private pauseHost({ hostState }: HostEntry): void {
    const { clock } = this.options;
    hostState.pausedUntil = clock.monotonic() + ENGINE.refusedPauseMs;
  }
}

/** Returns the worker's clock, extrapolated from its last report. */
const workerTimeAt = (hostState: HostState, now: number): number =>
  Math.floor((hostState.reportedAt ?? 0) + (now - hostState.reportReceivedAt));
