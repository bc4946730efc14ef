/**
 * Runs all jobs of a site while this process is the leader: decides which task starts
 * on which host, processes the hosts' reports, and persists the ends of tasks and jobs.
 */

import type {
  AvailabilityZone,
  HostId,
  Monotonic,
  Timer,
  WorkerInstance,
  WorkerTime,
} from "@rackspan/common";
import {
  InterferenceEstimator,
  JobRun,
  reconcileReport,
  ServingLoadForecaster,
  type ReportChanges,
} from "@rackspan/jobs";
import { latestLeaseExpiry } from "@rackspan/leadership";
import type { RunRef } from "@rackspan/ports";
import type { Grant, HostReport, LostRun } from "@rackspan/protocol";
import { OutlierEjector } from "@rackspan/routing";
import {
  type AcceptedJob,
  type JobId,
  type LearnedRecord,
  type ProgressRecord,
} from "@rackspan/state";
import { CheckpointWriter } from "./CheckpointWriter.js";
import { CrashTracker } from "./CrashTracker.js";
import { ColocationMonitor } from "./ColocationMonitor.js";
import { Dispatcher } from "./Dispatcher.js";
import { ServingConsolidator } from "./ServingConsolidator.js";
import { TargetedTaskPlacer } from "./TargetedTaskPlacer.js";
import { RunEndHandler } from "./RunEndHandler.js";
import type { EngineParts } from "./engineParts.js";
import { ENGINE, type EngineOptions, type HostEntry } from "./engineTypes.js";
import { RuntimeEstimator } from "./RuntimeEstimator.js";
import { JobBeginRecorder } from "./JobBeginRecorder.js";
import { HostRegistry } from "./HostRegistry.js";
import { HostRegistrar } from "./HostRegistrar.js";
import type { HostSession } from "./HostSession.js";
import { FirstStartMonitor } from "./FirstStartMonitor.js";
import { HostMonitor } from "./HostMonitor.js";
import { JobRegistry } from "./JobRegistry.js";
import { JobFinisher } from "./JobFinisher.js";
import { disturbancesFor, learnInterference } from "./learnInterference.js";
import { LoadSummaryPublisher } from "./LoadSummaryPublisher.js";
import { PermitTracker } from "./PermitTracker.js";
import { LearnedStateStore } from "./LearnedStateStore.js";
import { ProgressRecorder } from "./ProgressRecorder.js";
import { PlacementLog } from "./PlacementLog.js";
import { RunAdopter } from "./RunAdopter.js";
import { RunWriteAheadLog } from "./RunWriteAheadLog.js";
import { RunStarter } from "./RunStarter.js";
import { updateSlowness } from "./slowHosts.js";
import { RunStopper } from "./RunStopper.js";
import { ServingForecastReporter } from "./ServingForecastReporter.js";
import { stepOrders } from "./stepOrders.js";
import { StepWaitMonitor } from "./StepWaitMonitor.js";
import { TailForecast } from "./TailForecast.js";
import { WaitMonitor } from "./WaitMonitor.js";
import { taskPlacers } from "./taskPlacers.js";

const EJECTION = {
  failuresToEject: 3,
  /**
   * Duration of the first ejection, milliseconds; each further one lasts twice as long,
   * up to `maxEjectMs`.
   */
  ejectMs: 3_000,
  /** Longest ejection, milliseconds. */
  maxEjectMs: 12_000,
  maxEjectedShare: 0.5,
} as const;

export class JobEngine {
  private readonly jobs = new JobRegistry();
  private readonly hosts = new HostRegistry();
  private readonly interference: InterferenceEstimator;
  private readonly servingLoads: ServingLoadForecaster;
  private readonly forecastReporter: ServingForecastReporter;
  private readonly checkpoints: CheckpointWriter;
  private readonly learnedState: LearnedStateStore;
  private readonly permitTracker: PermitTracker;
  private readonly placementLog: PlacementLog | undefined;
  private readonly firstStarts: FirstStartMonitor;
  private readonly begins: JobBeginRecorder;
  private readonly runStarter: RunStarter;
  private readonly runStopper: RunStopper;
  private readonly dispatcher: Dispatcher;
  private readonly registrar: HostRegistrar;
  private readonly hostMonitor: HostMonitor;
  private readonly waitMonitor: WaitMonitor;
  private readonly colocationMonitor: ColocationMonitor;
  private readonly consolidator: ServingConsolidator;
  private readonly adopter: RunAdopter;
  private readonly jobFinisher: JobFinisher;
  private readonly loadPublisher: LoadSummaryPublisher;
  private readonly endHandler: RunEndHandler;
  private readonly crashTracker: CrashTracker;
  private timer: Timer | undefined;
  /** When the next tick is due. */
  private tickAt: Monotonic = Infinity;
  private lastTickAt: Monotonic = -Infinity;
  /** Total pauses of the process at the last tick, milliseconds. */
  private totalPausedMs = 0;
  private stopped = false;

  constructor(private readonly options: EngineOptions) {
    const { clock, journal, logger, order, placer, policy } = options;
    const { jobs, hosts } = this;
    const interference = new InterferenceEstimator(policy.learnsInterference);
    this.interference = interference;
    const servingLoads = new ServingLoadForecaster(policy.forecastsServingLoad);
    this.servingLoads = servingLoads;
    this.forecastReporter = new ServingForecastReporter({
      ...options,
      servingLoads,
    });
    const estimates = new RuntimeEstimator(policy.correctsEstimates);
    const failuresToEject = policy.ejectsFailingHosts
      ? EJECTION.failuresToEject
      : Infinity;
    const ejector = new OutlierEjector({ clock, ...EJECTION, failuresToEject });
    const requestCycle = () => this.dispatcher.requestCycle();
    const onTaskWaiting = (job: JobRun) => {
      if (jobs.activate(job)) requestCycle();
    };
    const permitTracker: PermitTracker = new PermitTracker({
      ...options,
      service: options.permits,
      workersWithoutTicket: (step) => runStarter.workersWithoutTicket(step),
      onTicketsIssued: (step) => runStarter.sendWithTickets(step),
      onTicketsUnavailable: (step) => runStarter.withdrawWithoutTickets(step),
      requestCycle,
    });
    this.permitTracker = permitTracker;
    const placementLog = policy.recordsPlacements
      ? new PlacementLog({
          ...options,
          jobs,
          placementsSince: options.placementsSince,
          onComplete: async () => options.onPlacementsComplete?.(),
        })
      : undefined;
    this.placementLog = placementLog;
    const forecast = new TailForecast({
      interference,
      servingLoads,
      clock,
      policy,
    });
    this.firstStarts = new FirstStartMonitor(options);
    const begins = new JobBeginRecorder({
      ...options,
      hosts,
      firstStarts: this.firstStarts,
    });
    this.begins = begins;
    const waits = new StepWaitMonitor();
    const runStarter: RunStarter = new RunStarter({
      ...options,
      firstStarts: this.firstStarts,
      waits,
      begins,
      hosts,
      forecast,
      permitTracker,
      placementLog,
      onOrderAnswered: () => this.dispatcher.handleOrderAnswered(),
      onTaskWaiting,
      onNeverStarted: (run) => this.crashTracker.handleNeverStarted(run),
    });
    this.runStarter = runStarter;
    this.runStopper = new RunStopper(options);
    const taskPlacer = new TargetedTaskPlacer(
      taskPlacers.create(placer, { forecast, estimates, policy }),
      clock,
    );
    this.dispatcher = new Dispatcher({
      engine: options,
      hosts,
      runStarter,
      order: stepOrders.create(order, { estimates }),
      placer: taskPlacer,
      ejector,
      permitTracker,
      active: jobs.active,
      waits,
      runLog: new RunWriteAheadLog({
        journal,
        logger,
        clock,
        nextRunNumber: () => runStarter.nextRunNumber(),
        onRecorded: requestCycle,
        resolvePreviousRun: (task) =>
          this.crashTracker.resolvePreviousRun(task),
      }),
    });
    const parts: EngineParts = {
      options,
      jobs,
      hosts,
      runStarter,
      runStopper: this.runStopper,
      estimates,
      ejector,
      waits,
      placer: taskPlacer,
      permitTracker,
      placementLog,
      requestCycle,
    };
    this.learnedState = new LearnedStateStore({
      interference,
      servingLoads,
      estimates,
      clock,
      logger,
      intervalMs: policy.learntEveryMs,
      write: options.persistLearned,
    });
    const progressRecorder = new ProgressRecorder({ journal, logger });
    const intervalMs = policy.checkpointEveryMs;
    this.checkpoints = new CheckpointWriter({
      journal,
      clock,
      logger,
      intervalMs,
    });
    this.registrar = new HostRegistrar(parts);
    this.adopter = new RunAdopter(parts);
    this.jobFinisher = new JobFinisher({
      ...parts,
      progressRecorder,
    });
    const partsWithFinisher = {
      ...parts,
      progressRecorder,
      jobFinisher: this.jobFinisher,
    };
    this.loadPublisher = new LoadSummaryPublisher({
      ...options,
      ...parts,
      intervalMs: options.loadSummaryIntervalMs ?? 0,
    });
    this.endHandler = new RunEndHandler({
      ...partsWithFinisher,
      loadPublisher: this.loadPublisher,
      begins,
    });
    this.crashTracker = new CrashTracker(partsWithFinisher);
    this.hostMonitor = new HostMonitor({
      ...parts,
      crashTracker: this.crashTracker,
    });
    this.waitMonitor = new WaitMonitor(parts);
    this.colocationMonitor = new ColocationMonitor(parts);
    this.consolidator = new ServingConsolidator(parts, taskPlacer);
  }

  start(): void {
    this.takePausedMs();
    this.schedule();
    this.learnedState.start();
    this.loadPublisher.start();
    if (this.options.policy.forecastsServingLoad) this.forecastReporter.start();
    this.dispatcher.requestCycle();
  }

  /** Stops sending orders. Workers continue their runs until their leases expire. */
  stop(): void {
    this.stopped = true;
    this.permitTracker.stop();
    this.checkpoints.stop();
    this.begins.stop();
    this.learnedState.stop();
    this.loadPublisher.stop();
    this.forecastReporter.stop();
    this.waitMonitor.stop();
    this.timer?.cancel();
  }

  /** Restores what a previous leader has learned. May be called at any time. */
  restoreLearned(records: readonly LearnedRecord[]): void {
    this.learnedState.restore(records);
  }

  addJob(accepted: AcceptedJob, progress: ProgressRecord | undefined): void {
    if (this.jobs.get(accepted.spec.id)) return;
    const { clock, logger } = this.options;
    const job = new JobRun(accepted, progress);
    this.placementLog?.restore(job, progress);
    const now = clock.monotonic();
    this.jobs.add({ job, firstSeenAt: now, lastRunSeenAt: now });
    if (job.isEnded) return;
    this.firstStarts.recordJob(job);
    logger.info("job.seen", {
      job: job.id,
      queue: accepted.spec.queue,
      ageMs: Math.round(clock.now() - accepted.acceptedAt),
      tasks: job.steps.reduce((sum, { tasks }) => sum + tasks.length, 0),
      restored: progress !== undefined,
    });
    this.dispatcher.requestCycle();
  }

  cancelJob(id: JobId): void {
    const tracked = this.jobs.get(id);
    if (!tracked || tracked.job.isEnded) return;
    this.jobFinisher.finish(tracked, "cancelled", "cancelled-by-caller");
  }

  /**
   * Returns the ended jobs whose records the store may delete.
   *
   * @param retentionMs how long records of ended jobs are retained, milliseconds
   */
  expiredJobs(retentionMs: number): JobId[] {
    return this.jobs.endedBefore(this.options.clock.now() - retentionMs);
  }

  forgetJob(id: JobId): void {
    this.jobs.delete(id);
  }

  /**
   * Called when the operator's configuration may have changed: a queue may use another
   * service, or a zone may have been closed or opened for starts.
   */
  handleOperatorChange(): void {
    this.dispatcher.requestCycle();
  }

  attach(host: HostId, session: HostSession): void {
    this.registrar.attach(host, session);
  }

  /** Does nothing if the host has another session by now. */
  detach(host: HostId, session: HostSession): void {
    this.registrar.detach(host, session);
  }

  /**
   * Handles the end of a worker, which the worker reported itself or which follows from
   * another incarnation answering in its place.
   *
   * @param lostRuns runs of ended incarnations that may have been at work at that time
   * @param unreportedEnds runs of ended incarnations that had ended before
   * @returns whether this leader has persisted the removal, so that the next leader
   *   does not wait for the worker
   */
  async handleWorkerGone(
    host: HostId,
    instance: WorkerInstance,
    lostRuns: readonly LostRun[] = [],
    unreportedEnds: readonly RunRef[] = [],
  ): Promise<boolean> {
    this.crashTracker.recordUnreportedEnds(unreportedEnds);
    const { roster, mayDecide } = this.options;
    const entry = this.hosts.get(host);
    if (entry?.hostState.instance === instance)
      this.hostMonitor.removeHost(entry, "crashed", "worker-gone", lostRuns);
    this.crashTracker.handleReportedLosses(host, lostRuns);
    if (!entry) this.hostMonitor.removeUnreported(host, instance);
    return (await roster.removalPersisted(host)) && mayDecide();
  }

  /**
   * Handles the message that the host's worker does not answer its side. The side
   * renews no lease until it has reported an answer.
   *
   * @param overInMs time until every lease of the worker has expired, as computed by
   *   its side; undefined when the side cannot compute it
   * @param neverStarted lost runs that never started, according to the answers to their
   *   start orders
   * @returns whether this leader may still decide
   */
  handleWorkerSilent(
    host: HostId,
    overInMs: number | undefined,
    neverStarted: readonly RunRef[] = [],
  ): boolean {
    this.crashTracker.handleNeverStartedRuns(neverStarted);
    if (overInMs !== undefined) this.hostMonitor.recordSilence(host, overInMs);
    if (this.nextTickAt() < this.tickAt) this.schedule();
    return this.options.mayDecide();
  }

  /** Processes a host's report and returns the lease for its worker. */
  handleReport(
    host: HostId,
    zone: AvailabilityZone,
    report: HostReport,
  ): Grant {
    const { clock, gate, logger } = this.options;
    const now = clock.monotonic();
    const entry = this.registrar.getOrRegister(host, zone, report, now);
    const { hostState } = entry;
    this.crashTracker.recordUnreportedEnds(report.unheardEnds ?? []);
    if (hostState.instance !== report.worker.instance) {
      this.hostMonitor.replaceWorker(entry, report);
      this.registrar.addToRoster(entry);
    }
    if (
      hostState.reportedAt !== undefined &&
      report.at <= hostState.reportedAt
    ) {
      // The worker has not answered since the last report, so this one contains nothing
      // new.
      logger.warn("report.stale", { host, at: report.at });
      return { acknowledged: hostState.acknowledgedEnds };
    }
    this.recordPreviousStarts(entry, report, now);
    this.crashTracker.handleReportedLosses(host, report.lostRuns);
    this.crashTracker.handleNeverStartedRuns(report.neverBegun ?? []);
    this.registrar.updateWorker(entry, report);
    this.applyChanges(entry, reconcileReport(hostState, report, now));
    const runs = [...hostState.runs.values()];
    for (const run of runs)
      if (run.phase === "running") this.begins.recordRun(run);
    this.checkpoints.trackTasks(runs.map(({ task }) => task));
    const { interference: estimator, servingLoads } = this;
    learnInterference(hostState, { estimator, servingLoads }, now);
    updateSlowness(entry, this.hosts, now);
    // Ends that are not listed yet may belong to runs that a previous leader started.
    if (report.hasMoreEnds) gate.clearSilence(host);
    else gate.recordReport(host);
    this.dispatcher.requestCycle();
    this.registrar.refreshRostered(entry);
    this.dispatcher.runCycleIfOverdue();
    return this.grant(entry, report, now);
  }

  /**
   * Grants a lease if the store has recorded the host's worker and this process may
   * decide.
   */
  private grant(
    { hostState, rostered }: HostEntry,
    report: HostReport,
    now: number,
  ): Grant {
    const { mayDecide, leaseMs } = this.options;
    const acknowledged = hostState.acknowledgedEnds;
    if (!mayDecide() || !rostered) return { acknowledged };
    hostState.recordGrant(latestLeaseExpiry(now, leaseMs));
    return {
      leaseUntil: (report.at + leaseMs) as WorkerTime,
      acknowledged,
      disturbances: disturbancesFor(hostState, this.interference),
    };
  }

  /**
   * Such a start carries a lease by the clock of another incarnation, so it may expire
   * later than every other lease.
   */
  private recordPreviousStarts(
    { hostState }: HostEntry,
    { formerStartsForMs = 0 }: HostReport,
    now: Monotonic,
  ): void {
    if (formerStartsForMs === 0) return;
    const latestAt = now + formerStartsForMs;
    hostState.recordPreviousStarts(
      latestLeaseExpiry(latestAt, this.options.leaseMs),
    );
  }

  private applyChanges(entry: HostEntry, changes: ReportChanges): void {
    const { hostState } = entry;
    for (const run of changes.vanished) {
      this.options.logger.warn("task.vanished", {
        task: run.task.id,
        run: run.run,
        host: hostState.host,
        phase: run.phase,
      });
      this.runStarter.returnRun(entry, run, "vanished");
    }
    this.adopter.adopt(entry, changes.unknown);
    this.endHandler.handleEnds(entry, changes.ended);
    this.runStopper.orderDueStops(entry);
  }

  /** Schedules the next tick and replaces one that is due later. */
  private schedule(): void {
    const { clock } = this.options;
    this.timer?.cancel();
    if (this.stopped) return;
    const dueAt = this.nextTickAt();
    this.tickAt = dueAt;
    this.timer = clock.after(dueAt - clock.monotonic(), () => {
      if (this.stopped) return;
      this.lastTickAt = clock.monotonic();
      this.recordLateness(this.lastTickAt - dueAt);
      this.tick();
      this.schedule();
    });
  }

  /**
   * Computes when the next tick is due: no later than the expiry of a host's leases,
   * because its tasks may then start elsewhere.
   */
  private nextTickAt(): Monotonic {
    const now = this.options.clock.monotonic();
    const expiresBy = Math.max(now, this.hostMonitor.nextLeaseExpiry());
    const earliestAt = this.lastTickAt + ENGINE.minCycleIntervalMs;
    const dueAt = Math.max(earliestAt, expiresBy + ENGINE.timerResolutionMs);
    return Math.min(now + ENGINE.tickMs, dueAt);
  }

  /**
   * Records how late the timers of this process are. Late timers suggest that it lacks
   * processor time.
   */
  private recordLateness(lateMs: number): void {
    const { logger, metrics } = this.options;
    metrics.latency("timer_lag").record(lateMs);
    const pausedMs = this.takePausedMs();
    metrics.count("process_paused_ms", {}, pausedMs);
    if (lateMs < ENGINE.lateTimerMs) return;
    logger.warn("engine.late", {
      lateMs: Math.round(lateMs),
      pausedMs: Math.round(pausedMs),
    });
  }

  /** Returns for how long the process was paused since the last tick, milliseconds. */
  private takePausedMs(): number {
    const totalMs = this.options.pauses?.totalPausedMs() ?? 0;
    const pausedMs = totalMs - this.totalPausedMs;
    this.totalPausedMs = totalMs;
    return pausedMs;
  }

  private tick(): void {
    this.hostMonitor.check();
    this.placementLog?.completeWhenKnown();
    this.waitMonitor.check();
    this.colocationMonitor.check();
    this.consolidator.check();
    if (this.jobs.active.size > 0) this.dispatcher.requestCycle();
  }
}
