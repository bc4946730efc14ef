/**
 * Runs all jobs of a site for as long as this process leads: decides which task
 * starts where, follows what hosts report, and keeps what ended in the store.
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
  InterferenceBook,
  JobRun,
  reconcileReport,
  type ReportChanges,
} from "@rackspan/jobs";
import { latestLeaseExpiry } from "@rackspan/leadership";
import type { RunRef } from "@rackspan/ports";
import type { Grant, HostReport, LostRun } from "@rackspan/protocol";
import { OutlierEjector } from "@rackspan/routing";
import {
  type AcceptedJob,
  type JobId,
  type LearntRecord,
  type ProgressRecord,
} from "@rackspan/state";
import { CheckpointKeeper } from "./CheckpointKeeper.js";
import { CrashKeeper } from "./CrashKeeper.js";
import { Dispatcher } from "./Dispatcher.js";
import { EndTaker } from "./EndTaker.js";
import type { EngineParts } from "./engineParts.js";
import { ENGINE, type EngineOptions, type HostEntry } from "./engineTypes.js";
import { EstimateBook } from "./EstimateBook.js";
import { HostBook } from "./HostBook.js";
import { HostIntake } from "./HostIntake.js";
import type { HostSession } from "./HostSession.js";
import { HostWatch } from "./HostWatch.js";
import { JobBook } from "./JobBook.js";
import { JobCloser } from "./JobCloser.js";
import { disturbancesOn, learnInterference } from "./learnInterference.js";
import { PermitBook } from "./PermitBook.js";
import { LearntKeeper } from "./LearntKeeper.js";
import { ProgressKeeper } from "./ProgressKeeper.js";
import { RunAdopter } from "./RunAdopter.js";
import { RunAnnouncer } from "./RunAnnouncer.js";
import { RunControl } from "./RunControl.js";
import { learnSlowness } from "./slowHosts.js";
import { StopControl } from "./StopControl.js";
import { stepOrders } from "./stepOrders.js";
import { TailForecast } from "./TailForecast.js";
import { WaitWatch } from "./WaitWatch.js";
import { taskPlacers } from "./taskPlacers.js";

const EJECTION = {
  failuresToEject: 3,
  /** First time out of service, milliseconds; it doubles up to the longest. */
  ejectMs: 3_000,
  /** Longest time out of service, milliseconds. */
  maxEjectMs: 12_000,
  maxEjectedShare: 0.5,
} as const;

export class JobEngine {
  private readonly jobs = new JobBook();
  private readonly hosts = new HostBook();
  private readonly interference: InterferenceBook;
  private readonly checkpoints: CheckpointKeeper;
  private readonly learnt: LearntKeeper;
  private readonly permits: PermitBook;
  private readonly runs: RunControl;
  private readonly stops: StopControl;
  private readonly dispatcher: Dispatcher;
  private readonly intake: HostIntake;
  private readonly watch: HostWatch;
  private readonly waits: WaitWatch;
  private readonly adopter: RunAdopter;
  private readonly closer: JobCloser;
  private readonly ends: EndTaker;
  private readonly crashes: CrashKeeper;
  private timer: Timer | undefined;
  /** When the next tick is due. */
  private tickAt: Monotonic = Infinity;
  private lastTickAt: Monotonic = -Infinity;
  private stopped = false;

  constructor(private readonly options: EngineOptions) {
    const { clock, journal, logger, order, placer, policy } = options;
    const { jobs, hosts } = this;
    const interference = new InterferenceBook(policy.learnsInterference);
    this.interference = interference;
    const estimates = new EstimateBook(policy.correctsEstimates);
    const failuresToEject = policy.ejectsFailingHosts
      ? EJECTION.failuresToEject
      : Infinity;
    const ejector = new OutlierEjector({ clock, ...EJECTION, failuresToEject });
    const requestPass = () => this.dispatcher.requestPass();
    const onWaiting = (job: JobRun) => {
      if (jobs.activate(job)) requestPass();
    };
    const permits = new PermitBook({
      ...options,
      service: options.permits,
      onPermits: requestPass,
    });
    this.permits = permits;
    const forecast = new TailForecast({ interference, policy });
    const runs = new RunControl({
      ...options,
      hosts,
      forecast,
      permitBook: permits,
      onWaiting,
      onNotBegun: (run) => this.crashes.noteNotBegun(run),
    });
    this.runs = runs;
    this.stops = new StopControl(options);
    this.dispatcher = new Dispatcher({
      engine: options,
      hosts,
      runs,
      order: stepOrders.create(order, { estimates }),
      placer: taskPlacers.create(placer, { forecast, policy }),
      ejector,
      permits,
      active: jobs.active,
      announcer: new RunAnnouncer({
        journal,
        logger,
        nextRun: () => runs.nextRun(),
        onKept: requestPass,
        settleFormer: (task) => this.crashes.settle(task),
      }),
    });
    const parts: EngineParts = {
      options,
      jobs,
      hosts,
      runs,
      stops: this.stops,
      estimates,
      ejector,
      requestPass,
    };
    this.learnt = new LearntKeeper({
      interference,
      estimates,
      clock,
      logger,
      everyMs: policy.learntEveryMs,
      write: options.keepLearnt,
    });
    const keeper = new ProgressKeeper({ journal, logger });
    const everyMs = policy.checkpointEveryMs;
    this.checkpoints = new CheckpointKeeper({
      journal,
      clock,
      logger,
      everyMs,
    });
    this.intake = new HostIntake(parts);
    this.adopter = new RunAdopter(parts);
    this.closer = new JobCloser({ ...parts, keeper });
    const closing = { ...parts, keeper, closer: this.closer };
    this.ends = new EndTaker(closing);
    this.crashes = new CrashKeeper(closing);
    this.watch = new HostWatch({ ...parts, crashes: this.crashes });
    this.waits = new WaitWatch(parts);
  }

  start(): void {
    this.schedule();
    this.learnt.start();
    this.dispatcher.requestPass();
  }

  /** Gives no more orders; hosts go on until their leases are over. */
  stop(): void {
    this.stopped = true;
    this.permits.stop();
    this.checkpoints.stop();
    this.learnt.stop();
    this.waits.stop();
    this.timer?.cancel();
  }

  /** Takes what a former leader has learnt; it may come at any time. */
  restoreLearnt(records: readonly LearntRecord[]): void {
    this.learnt.restore(records);
  }

  addJob(accepted: AcceptedJob, progress: ProgressRecord | undefined): void {
    if (this.jobs.get(accepted.spec.id)) return;
    const { clock, logger } = this.options;
    const job = new JobRun(accepted, progress);
    const now = clock.monotonic();
    this.jobs.add({ job, firstSeenAt: now, busyAt: now });
    if (job.isEnded) return;
    logger.info("job.seen", {
      job: job.id,
      queue: accepted.spec.queue,
      ageMs: Math.round(clock.now() - accepted.acceptedAt),
      tasks: job.steps.reduce((sum, { tasks }) => sum + tasks.length, 0),
      restored: progress !== undefined,
    });
    this.dispatcher.requestPass();
  }

  cancelJob(id: JobId): void {
    const live = this.jobs.get(id);
    if (!live || live.job.isEnded) return;
    this.closer.close(live, "cancelled", "cancelled-by-caller");
  }

  /**
   * Jobs whose records the store need not keep any longer.
   *
   * @param keepMs how long ended jobs are kept, milliseconds
   */
  expiredJobs(keepMs: number): JobId[] {
    return this.jobs.endedBefore(this.options.clock.now() - keepMs);
  }

  forgetJob(id: JobId): void {
    this.jobs.delete(id);
  }

  /** Queues may have another service, or a zone may be closed or open to starts. */
  noteOperator(): void {
    this.dispatcher.requestPass();
  }

  attach(host: HostId, session: HostSession): void {
    this.intake.attach(host, session);
  }

  /** Does nothing when the host has another session by now. */
  detach(host: HostId, session: HostSession): void {
    this.intake.detach(host, session);
  }

  /**
   * The worker has ended, by its own word or since another life answers for it.
   *
   * @param lostRuns runs of ended lives that may have been at work then
   * @param unheardEnds runs of ended lives that had ended before
   * @returns whether this leader has taken note of it, and a next one will not wait for it
   */
  async noteWorkerGone(
    host: HostId,
    instance: WorkerInstance,
    lostRuns: readonly LostRun[] = [],
    unheardEnds: readonly RunRef[] = [],
  ): Promise<boolean> {
    this.crashes.noteUnheardEnds(unheardEnds);
    const { roster, mayDecide } = this.options;
    const entry = this.hosts.get(host);
    if (entry?.ledger.instance === instance)
      this.watch.dropHost(entry, "crashed", "worker-gone", lostRuns);
    this.crashes.noteTold(host, lostRuns);
    if (!entry) this.watch.dropUnheard(host, instance);
    return (await roster.removed(host)) && mayDecide();
  }

  /**
   * The host's worker does not answer its side, which renews no lease until it has
   * reported an answer.
   *
   * @param overInMs until every lease of the worker is over, as its side knows them;
   *   undefined when it does not
   * @param neverBegun lost runs that never began, by the answers to their orders
   * @returns whether this leader may still decide
   */
  noteWorkerSilent(
    host: HostId,
    overInMs: number | undefined,
    neverBegun: readonly RunRef[] = [],
  ): boolean {
    this.crashes.noteNeverBegun(neverBegun);
    if (overInMs !== undefined) this.watch.noteSilent(host, overInMs);
    if (this.nextTickAt() < this.tickAt) this.schedule();
    return this.options.mayDecide();
  }

  /** Takes a host's report. */
  report(host: HostId, zone: AvailabilityZone, report: HostReport): Grant {
    const { clock, gate, logger } = this.options;
    const now = clock.monotonic();
    const entry = this.intake.entryOf(host, zone, report, now);
    const { ledger } = entry;
    this.crashes.noteUnheardEnds(report.unheardEnds ?? []);
    if (ledger.instance !== report.worker.instance) {
      this.watch.replaceWorker(entry, report);
      this.intake.keepInRoster(entry);
    }
    if (ledger.reportedAt !== undefined && report.at <= ledger.reportedAt) {
      // The worker has not answered since: nothing is known anew.
      logger.warn("report.stale", { host, at: report.at });
      return { acknowledged: ledger.acknowledgedEnds };
    }
    this.noteFormerStarts(entry, report, now);
    this.crashes.noteTold(host, report.lostRuns);
    this.crashes.noteNeverBegun(report.neverBegun ?? []);
    this.intake.noteWorker(entry, report);
    this.takeChanges(entry, reconcileReport(ledger, report, now));
    const tasks = [...ledger.runs.values()].map(({ task }) => task);
    this.checkpoints.noteTasks(tasks);
    learnInterference(ledger, this.interference, now);
    learnSlowness(entry, this.hosts, now);
    // What is still to be listed may have ended under a former leader.
    if (report.hasMoreEnds) gate.forgetSilent(host);
    else gate.noteHeard(host);
    this.dispatcher.requestPass();
    this.intake.noteRostered(entry);
    this.dispatcher.passIfOverdue();
    return this.grant(entry, report, now);
  }

  /** A lease for a host that the store keeps, while this process may decide. */
  private grant(
    { ledger, rostered }: HostEntry,
    report: HostReport,
    now: number,
  ): Grant {
    const { mayDecide, leaseMs } = this.options;
    const acknowledged = ledger.acknowledgedEnds;
    if (!mayDecide() || !rostered) return { acknowledged };
    ledger.noteGrant(latestLeaseExpiry(now, leaseMs));
    return {
      leaseUntil: (report.at + leaseMs) as WorkerTime,
      acknowledged,
      disturbances: disturbancesOn(ledger, this.interference),
    };
  }

  /** Such a start brings a lease by the clock of another life, so it may be the longest. */
  private noteFormerStarts(
    { ledger }: HostEntry,
    { formerStartsForMs = 0 }: HostReport,
    now: Monotonic,
  ): void {
    if (formerStartsForMs === 0) return;
    const latestAt = now + formerStartsForMs;
    ledger.noteFormerStarts(latestLeaseExpiry(latestAt, this.options.leaseMs));
  }

  private takeChanges(entry: HostEntry, changes: ReportChanges): void {
    const { ledger } = entry;
    for (const run of changes.vanished) {
      this.options.logger.warn("task.vanished", {
        task: run.task.id,
        run: run.run,
        host: ledger.host,
        phase: run.phase,
      });
      this.runs.giveBack(entry, run, "vanished");
    }
    this.adopter.adopt(entry, changes.unknown);
    this.ends.take(entry, changes.ended);
    this.stops.orderDueStops(entry);
  }

  /** Sets the next tick, in place of one that is due later. */
  private schedule(): void {
    const { clock } = this.options;
    this.timer?.cancel();
    if (this.stopped) return;
    const dueAt = this.nextTickAt();
    this.tickAt = dueAt;
    this.timer = clock.after(dueAt - clock.monotonic(), () => {
      if (this.stopped) return;
      this.lastTickAt = clock.monotonic();
      this.noteLateness(this.lastTickAt - dueAt);
      this.tick();
      this.schedule();
    });
  }

  /** When a host's leases are over its tasks may start elsewhere, so no tick comes later. */
  private nextTickAt(): Monotonic {
    const now = this.options.clock.monotonic();
    const overBy = Math.max(now, this.watch.nextOverBy());
    const leastAt = this.lastTickAt + ENGINE.passFloorMs;
    const soonest = Math.max(leastAt, overBy + ENGINE.timerGrainMs);
    return Math.min(now + ENGINE.tickMs, soonest);
  }

  /** Tells how late the timers of this process are: it may be short of processor time. */
  private noteLateness(lateMs: number): void {
    const { logger, metrics } = this.options;
    metrics.latency("timer_lag").record(lateMs);
    if (lateMs < ENGINE.lateTimerMs) return;
    logger.warn("engine.late", { lateMs: Math.round(lateMs) });
  }

  private tick(): void {
    this.watch.look();
    this.waits.look();
    if (this.jobs.active.size > 0) this.dispatcher.requestPass();
  }
}
