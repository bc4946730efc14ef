/**
 * Runs all jobs of a site for as long as this process leads: decides which task
 * starts where, follows what hosts report, and keeps what ended in the store.
 */

import {
  describeError,
  type AvailabilityZone,
  type HostId,
  type Timer,
  type WorkerInstance,
} from "@rackspan/common";
import {
  avoidHost,
  HostLedger,
  InterferenceBook,
  JobRun,
  natureOf,
  reconcileReport,
  type ActiveRun,
  type JobTask,
  type ReportChanges,
} from "@rackspan/jobs";
import { leaseOverBy } from "@rackspan/leadership";
import type { EndedRun, RunningTask } from "@rackspan/ports";
import type { Grant, HostReport } from "@rackspan/protocol";
import { OutlierEjector } from "@rackspan/routing";
import {
  isFinal,
  parseTaskId,
  type AcceptedJob,
  type JobId,
  type JobStateName,
  type ProgressRecord,
} from "@rackspan/state";
import { Dispatcher } from "./Dispatcher.js";
import { EstimateBook } from "./EstimateBook.js";
import {
  ENGINE,
  type EngineOptions,
  type HostEntry,
  type LiveJob,
} from "./engineTypes.js";
import { HostBook } from "./HostBook.js";
import type { HostSession } from "./HostSession.js";
import {
  disturbancesOn,
  learnInterference,
  undisturbedTails,
} from "./learnInterference.js";
import { RunControl } from "./RunControl.js";
import { learnSlowness, runsToMove, SLOWNESS } from "./slowHosts.js";
import { stepOrders } from "./stepOrders.js";
import { taskPlacers } from "./taskPlacers.js";

const EJECTION = {
  failuresToEject: 3,
  ejectMs: 3_000,
  maxEjectMs: 12_000,
  maxEjectedShare: 0.5,
} as const;

export class JobEngine {
  private readonly jobs = new Map<JobId, LiveJob>();
  private readonly active = new Set<LiveJob>();
  private readonly hosts = new HostBook();
  private readonly sessions = new Map<HostId, HostSession>();
  private readonly estimates = new EstimateBook();
  private readonly interference = new InterferenceBook();
  private readonly ejector: OutlierEjector;
  private readonly runs: RunControl;
  private readonly dispatcher: Dispatcher;
  private timer: Timer | undefined;
  private stopped = false;
  private journalLost = false;

  constructor(private readonly options: EngineOptions) {
    const { clock } = options;
    this.ejector = new OutlierEjector({ clock, ...EJECTION });
    this.runs = new RunControl({
      ...options,
      hosts: this.hosts,
      onWaiting: (job) => this.activate(job),
    });
    this.dispatcher = new Dispatcher({
      engine: options,
      hosts: this.hosts,
      runs: this.runs,
      order: stepOrders.create(options.order, { estimates: this.estimates }),
      placer: taskPlacers.create(options.placer, {
        interference: this.interference,
      }),
      ejector: this.ejector,
      active: this.active,
    });
  }

  start(): void {
    this.schedule();
    this.dispatcher.requestPass();
  }

  /** Gives no more orders; hosts go on until their leases are over. */
  stop(): void {
    this.stopped = true;
    this.timer?.cancel();
  }

  addJob(accepted: AcceptedJob, progress: ProgressRecord | undefined): void {
    if (this.jobs.has(accepted.spec.id)) return;
    const job = new JobRun(accepted, progress);
    const now = this.options.clock.monotonic();
    const live: LiveJob = { job, firstSeenAt: now, busyAt: now };
    this.jobs.set(job.id, live);
    if (isFinal(job.state)) return;
    this.active.add(live);
    this.options.logger.info("job.seen", {
      job: job.id,
      queue: accepted.spec.queue,
      ageMs: Math.round(this.options.clock.now() - accepted.acceptedAt),
      tasks: job.steps.reduce((sum, { tasks }) => sum + tasks.length, 0),
      restored: progress !== undefined,
    });
    this.dispatcher.requestPass();
  }

  cancelJob(id: JobId): void {
    const live = this.jobs.get(id);
    if (!live || isFinal(live.job.state)) return;
    this.endJob(live, "cancelled", "cancelled-by-caller");
  }

  /** Jobs whose records the store need not keep any longer. */
  expiredJobs(keepMs: number): JobId[] {
    const now = this.options.clock.now();
    const expired: JobId[] = [];
    for (const { job } of this.jobs.values()) {
      if (isFinal(job.state) && now - job.endedAt > keepMs)
        expired.push(job.id);
    }
    return expired;
  }

  forgetJob(id: JobId): void {
    const live = this.jobs.get(id);
    if (!live) return;
    this.jobs.delete(id);
    this.active.delete(live);
  }

  /** The configuration changed: queues may have another service. */
  noteConfig(): void {
    this.dispatcher.requestPass();
  }

  attach(host: HostId, session: HostSession): void {
    this.sessions.set(host, session);
    const entry = this.hosts.get(host);
    if (!entry) return;
    entry.session = session;
    // What was ordered on the old connection may or may not have arrived.
    for (const run of entry.ledger.runs.values()) {
      if (run.phase === "starting") run.phase = "unsure";
    }
  }

  detach(host: HostId, session: HostSession): void {
    if (this.sessions.get(host) !== session) return;
    this.sessions.delete(host);
    const entry = this.hosts.get(host);
    if (entry) entry.session = undefined;
  }

  /** The worker has ended, by its own word or since another life answers for it. */
  noteWorkerGone(host: HostId, instance: WorkerInstance): void {
    const entry = this.hosts.get(host);
    if (entry?.ledger.instance === instance)
      this.dropHost(entry, "worker-gone");
  }

  /** Takes a host's report. */
  report(host: HostId, zone: AvailabilityZone, report: HostReport): Grant {
    const { clock, gate, mayDecide, leaseMs, roster, logger } = this.options;
    const now = clock.monotonic();
    const entry = this.entryOf(host, zone, report, now);
    const { ledger } = entry;
    if (ledger.instance !== report.worker.instance) {
      this.loseRuns(entry, "worker-replaced");
      ledger.replaceWorker(report.worker);
    }
    if (ledger.reportedAt !== undefined && report.at <= ledger.reportedAt) {
      // The worker has not answered since: nothing is known anew.
      logger.warn("report.stale", { host, at: report.at });
      return { acknowledged: ledger.acknowledgedEnds };
    }
    this.noteWorker(entry, report);
    this.takeChanges(entry, reconcileReport(ledger, report, now));
    learnInterference(ledger, this.interference);
    learnSlowness(entry, this.hosts, now);
    gate.noteHeard(host);
    this.dispatcher.requestPass();
    entry.rostered = roster.has(host);
    if (!mayDecide() || !entry.rostered) {
      return { acknowledged: ledger.acknowledgedEnds };
    }
    ledger.leaseOverBy = Math.max(
      ledger.leaseOverBy,
      leaseOverBy(now, leaseMs),
    );
    const leaseUntil = (report.at + leaseMs) as typeof report.at;
    return {
      leaseUntil,
      acknowledged: ledger.acknowledgedEnds,
      disturbances: disturbancesOn(ledger, this.interference),
      bases: undisturbedTails(ledger, this.interference),
    };
  }

  private entryOf(
    host: HostId,
    zone: AvailabilityZone,
    { worker }: HostReport,
    now: number,
  ): HostEntry {
    const { roster, logger } = this.options;
    const known = this.hosts.get(host);
    if (known) return known;
    const ledger = new HostLedger(host, zone, worker);
    const session = this.sessions.get(host);
    const entry: HostEntry = {
      ledger,
      session,
      keeping: Promise.resolve(),
      rostered: roster.has(host),
    };
    this.hosts.set(entry);
    // Until it is heard the host may hold leases of a former leader.
    ledger.leaseOverBy = leaseOverBy(now, this.options.leaseMs);
    logger.info("host.joined", {
      host,
      instance: worker.instance,
      zone,
      milliCores: worker.milliCores,
    });
    if (!entry.rostered) this.addToRoster(entry);
    return entry;
  }

  private addToRoster(entry: HostEntry): void {
    const { roster, logger } = this.options;
    const { host } = entry.ledger;
    roster.add(host).then(
      () => {
        entry.rostered = true;
        this.dispatcher.requestPass();
      },
      (err: unknown) =>
        logger.warn("host.not-rostered", { host, error: describeError(err) }),
    );
  }

  private noteWorker(entry: HostEntry, { worker }: HostReport): void {
    const { ledger } = entry;
    const beganDraining = worker.draining && !ledger.worker.draining;
    ledger.worker = worker;
    if (beganDraining) {
      const { logger } = this.options;
      const { host } = ledger;
      logger.info("host.draining", { host, leavesInMs: worker.leavesInMs });
    }
    if (worker.draining) this.emptyHost(entry);
  }

  /** Moves away what would not end before the worker leaves. */
  private emptyHost(entry: HostEntry): void {
    const { clock, stopMs } = this.options;
    const { leavesInMs } = entry.ledger.worker;
    for (const run of [...entry.ledger.runs.values()]) {
      if (run.phase !== "running") continue;
      const { step } = run.task;
      if (step.spec.lasting) {
        this.runs.stop(entry, run, "draining");
        continue;
      }
      if (leavesInMs === undefined) continue;
      const ranMs = clock.monotonic() - run.startedAt;
      const expectedMs = Math.max(0, this.estimates.taskMs(step) - ranMs);
      if (expectedMs + stopMs > leavesInMs) {
        this.runs.stop(entry, run, "draining");
      }
    }
  }

  private takeChanges(entry: HostEntry, changes: ReportChanges): void {
    const { logger } = this.options;
    const { ledger } = entry;
    for (const run of changes.vanished) {
      logger.warn("task.vanished", {
        task: run.task.id,
        run: run.run,
        host: ledger.host,
        phase: run.phase,
      });
      this.runs.giveBack(entry, run);
    }
    this.adopt(entry, changes.unknown);
    this.takeEnds(entry, changes.ended);
  }

  /** Runs of a former leader, or of jobs that have ended since. */
  private adopt(entry: HostEntry, rows: readonly RunningTask[]): void {
    const { clock, logger } = this.options;
    const { ledger } = entry;
    const adopted: JobTask[] = [];
    for (const row of rows) {
      const task = this.findTask(row);
      const run = {
        run: row.run,
        phase: "running" as const,
        startedAt: clock.monotonic(),
        answeredAt: ledger.reportedAt,
        orderLapsesAt: ledger.reportedAt ?? (0 as never),
        progressPercent: row.progressPercent,
        progressedAt: clock.monotonic(),
        reading: row.reading,
        stopReason: undefined,
      };
      const isWanted =
        task?.phase === "waiting" && !isFinal(task.step.job.state);
      logger.info(isWanted ? "task.adopted" : "task.stray", {
        task: row.task,
        run: row.run,
        host: ledger.host,
      });
      if (!task || !isWanted) {
        this.stopStray(entry, row);
        continue;
      }
      if (row.checkpoint !== "") task.checkpoint = row.checkpoint;
      task.step.job.notePlaced(task);
      this.hosts.place(entry, { task, ...run });
      adopted.push(task);
    }
    if (adopted.length === 0) return;
    entry.session?.describe(
      adopted.map((task) => ({ task: task.id, nature: natureOf(task) })),
    );
  }

  private stopStray(entry: HostEntry, { task, run }: RunningTask): void {
    const { epoch, logger } = this.options;
    const { instance } = entry.ledger;
    entry.session
      ?.stopTask({ instance, epoch, task, run })
      .catch((err: unknown) => {
        // The next report lists it again, and it is stopped again.
        logger.warn("task.stop-unanswered", {
          task,
          run,
          error: describeError(err),
        });
      });
  }

  private takeEnds(entry: HostEntry, ended: readonly EndedRun[]): void {
    if (ended.length === 0) return;
    const changed = new Set<JobRun>();
    const lastLapse = ended.findLastIndex(
      ({ outcome }) => outcome === "lapsed",
    );
    ended.forEach((end, at) => {
      // An end that the lease outlived was never taken note of: it is void.
      const isVoid = at < lastLapse && end.outcome !== "failed";
      const job = this.takeEnd(
        entry,
        isVoid ? { ...end, outcome: "lapsed" } : end,
      );
      if (job) changed.add(job);
    });
    this.keep(entry, changed);
    this.dispatcher.requestPass();
  }

  /** @returns the job when what must be kept of it has changed */
  private takeEnd(entry: HostEntry, end: EndedRun): JobRun | undefined {
    const { clock, logger, metrics } = this.options;
    const { ledger } = entry;
    const task = this.findTask(end);
    const placed = task && this.hosts.placementOf(task);
    const isActive = placed?.host === entry && placed.run.run === end.run;
    metrics.count("task_ends", { outcome: end.outcome });
    logger.info("task.ended", {
      task: end.task,
      run: end.run,
      host: ledger.host,
      outcome: end.outcome,
      number: end.number,
      ranMs: isActive
        ? Math.round(clock.monotonic() - placed.run.startedAt)
        : undefined,
    });
    if (!task) return undefined;
    const { job } = task.step;
    if (isActive) this.hosts.release(entry, placed.run);
    if (isFinal(job.state)) return undefined;
    // Another run of the task was ordered after this one was given up.
    if (!isActive && placed) return undefined;
    const changed = job.noteEnd(task, end.run, end.outcome, end.checkpoint);
    this.learn(entry, task, end, isActive ? placed.run : undefined);
    if (end.outcome === "done" && task.step.spec.gang) {
      job.noteGangDone(task.step);
    }
    job.noteWaiting(task);
    this.activate(job);
    this.closeIfEnded(job, task);
    return changed || isFinal(job.state) ? job : undefined;
  }

  private learn(
    { ledger }: HostEntry,
    task: JobTask,
    { outcome }: EndedRun,
    run: ActiveRun | undefined,
  ): void {
    const { host } = ledger;
    if (outcome === "done") {
      this.ejector.report({ host, ok: true });
      const isWhole = run && task.checkpoint === "";
      const tookMs = run ? this.options.clock.monotonic() - run.startedAt : 0;
      if (isWhole) this.estimates.note(task.step, tookMs);
    }
    if (outcome !== "failed") return;
    this.ejector.report({ host, ok: false });
    avoidHost(task, host);
  }

  private closeIfEnded(job: JobRun, task: JobTask): void {
    const live = this.jobs.get(job.id);
    if (!live) return;
    if (job.isComplete) this.endJob(live, "completed", "all-tasks-done");
    else if (job.hasSpentAttempts(task)) {
      this.endJob(live, "failed", `attempts-spent:${task.id}`);
    }
  }

  private endJob(live: LiveJob, state: JobStateName, reason: string): void {
    const { clock, logger, metrics, journal } = this.options;
    const { job } = live;
    job.end(state, clock.now());
    this.active.delete(live);
    metrics.count("job_ends", { state });
    logger.info("job.ended", {
      job: job.id,
      state,
      reason,
      ageMs: Math.round(clock.now() - job.accepted.acceptedAt),
    });
    for (const { tasks } of job.steps) {
      for (const { host, run } of this.hosts.runsOf(tasks)) {
        this.runs.stop(host, run, `job-${state}`);
      }
    }
    journal.record(job).catch((err: unknown) => this.noteLostJournal(err));
  }

  /** Keeps what changed, and only then lets the worker forget the ends. */
  private keep(entry: HostEntry, changed: ReadonlySet<JobRun>): void {
    const { journal } = this.options;
    const { ledger } = entry;
    const { instance, notedEnds } = ledger;
    const writes = [...changed].map((job) => journal.record(job));
    // Ends that change nothing wait for earlier ones all the same.
    entry.keeping = Promise.all([entry.keeping, ...writes]).then(() => {
      if (ledger.instance !== instance) return;
      ledger.acknowledgedEnds = Math.max(ledger.acknowledgedEnds, notedEnds);
      entry.session?.acknowledge(instance, ledger.acknowledgedEnds);
    });
    entry.keeping.catch((err: unknown) => this.noteLostJournal(err));
  }

  private noteLostJournal(err: unknown): void {
    if (this.journalLost) return;
    this.journalLost = true;
    this.options.logger.warn("journal.lost", { error: describeError(err) });
  }

  private activate(job: JobRun): void {
    const live = this.jobs.get(job.id);
    if (!live || isFinal(job.state)) return;
    this.active.add(live);
    this.dispatcher.requestPass();
  }

  private findTask({ task }: Pick<RunningTask, "task">): JobTask | undefined {
    const position = parseTaskId(task);
    const live = position && this.jobs.get(position.job);
    if (!live) return undefined;
    const { occurrence, step, index } = position;
    return live.job.task(occurrence, step, index);
  }

  private loseRuns(entry: HostEntry, reason: string): void {
    const { logger } = this.options;
    const { ledger } = entry;
    if (ledger.runs.size === 0) return;
    logger.warn("host.runs-lost", {
      host: ledger.host,
      instance: ledger.instance,
      reason,
      runs: ledger.runs.size,
    });
    for (const run of [...ledger.runs.values()]) {
      this.runs.giveBack(entry, run);
    }
  }

  private schedule(): void {
    this.timer = this.options.clock.after(ENGINE.tickMs, () => {
      if (this.stopped) return;
      this.tick();
      this.schedule();
    });
  }

  private tick(): void {
    const now = this.options.clock.monotonic();
    for (const entry of [...this.hosts.all()]) {
      if (now >= entry.ledger.leaseOverBy) this.dropHost(entry, "lease-over");
      else this.watchRuns(entry, now);
    }
    if (this.active.size > 0) this.dispatcher.requestPass();
  }

  /** Nothing runs there any more: it ended, or was silent until its lease was over. */
  private dropHost(entry: HostEntry, reason: string): void {
    const { logger, roster } = this.options;
    const { host } = entry.ledger;
    this.loseRuns(entry, reason);
    logger.warn("host.gone", {
      host,
      instance: entry.ledger.instance,
      reason,
    });
    this.hosts.delete(host);
    this.ejector.forget(host);
    roster.remove(host);
  }

  private watchRuns(entry: HostEntry, now: number): void {
    if (!this.options.mayDecide() || !entry.session) return;
    if (this.hasFasterHost(entry)) this.moveFromSlowHost(entry, now);
    for (const run of entry.ledger.runs.values()) {
      if (run.phase === "stopping" && run.answeredAt === undefined) {
        void this.runs.orderStop(entry, run);
        continue;
      }
      if (run.phase === "running" && hasStalled(run, now)) {
        avoidHost(run.task, entry.ledger.host);
        this.ejector.report({ host: entry.ledger.host, ok: false });
        this.runs.stop(entry, run, "stalled");
      }
    }
  }

  private hasFasterHost({ ledger }: HostEntry): boolean {
    return [...this.hosts.all()].some(
      (other) =>
        other.session !== undefined &&
        !other.ledger.worker.draining &&
        other.ledger.slowness + SLOWNESS.clearlyFaster < ledger.slowness,
    );
  }

  private moveFromSlowHost(entry: HostEntry, now: number): void {
    const { ledger } = entry;
    for (const run of runsToMove(entry, this.hosts, now)) {
      avoidHost(run.task, ledger.host);
      this.runs.stop(entry, run, "slow-host");
    }
  }
}

const hasStalled = (run: ActiveRun, now: number): boolean => {
  const { kind } = natureOf(run.task);
  if (run.task.step.spec.lasting) return false;
  const limit = kind === "filling" ? ENGINE.fillingStallMs : ENGINE.stallMs;
  return now - run.progressedAt > limit;
};
