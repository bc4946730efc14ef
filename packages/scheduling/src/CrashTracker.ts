/**
 * Counts the runs that are lost with their workers, and gives a task up that
 * crashes them. The count is kept with the job's progress: the next leader goes on
 * from it, and neither a worker's new life nor its host's entry resets it.
 */

import type { HostId, Monotonic, RunNumber, Timer } from "@rackspan/common";
import {
  attributeCrash,
  CRASH_LIMITS,
  evidenceOfSharedRun,
  evidenceOfIsolatedRun,
  hasSettledAfter,
  runRefOf,
  lostRunStateOf,
  type ActiveRun,
  type JobRun,
  type JobTask,
  type StepRun,
  type WorkerLoss,
} from "@rackspan/jobs";
import { runKeyOf, type RunRef } from "@rackspan/ports";
import type { LostRun } from "@rackspan/protocol";
import { BoundedMap, type CrashEvidence } from "@rackspan/state";
import { ENGINE, type HostEntry } from "./engineTypes.js";
import type { EngineParts } from "./engineParts.js";
import type { JobFinisher } from "./JobFinisher.js";
import type { ProgressRecorder } from "./ProgressRecorder.js";

export interface CrashTrackerOptions extends EngineParts {
  readonly closer: JobFinisher;
  readonly progressRecorder: ProgressRecorder;
}

const PROOFS: readonly CrashEvidence[] = ["sole", "unanswered"];

/** Whether the answer to the order of a lost run may yet come, and who tells of it. */
type OrderState = "open" | "told-open" | "over";

type TaskRun = Pick<ActiveRun, "task" | "run">;

interface AwaitedAnswer {
  readonly run: RunNumber;
  /** Whether the side has told that the order is open, and tells when it is over. */
  readonly isToldBySide: boolean;
  readonly timer: Timer;
}

/** Runs that are remembered as judged: a side repeats what it tells until it is answered. */
const MAX_JUDGED = 10_000;

export class CrashTracker {
  /** Lost runs that this leader has judged, those it let go free among them. */
  private readonly judged = new BoundedMap<string, true>(MAX_JUDGED);

  /** Runs that had ended before their workers crashed, as sides tell. */
  private readonly ended = new BoundedMap<string, true>(MAX_JUDGED);

  /**
   * When the worker of a host was last lost without proof against a task: whatever
   * ended it may have ended others.
   */
  private readonly unexplained = new Map<HostId, Monotonic>();

  /** Tasks held until the order to a run that would give them up is answered. */
  private readonly awaitingAnswer = new Map<JobTask, AwaitedAnswer>();

  constructor(private readonly parts: CrashTrackerOptions) {}

  /**
   * The worker's life is lost, and all its runs with it: their tasks wait again,
   * but for those that have crashed too many workers.
   * @param reason what showed it, for logs
   * @param lostRuns what the side tells of them
   */
  handleLostRuns(
    entry: HostEntry,
    loss: WorkerLoss,
    reason: string,
    lostRuns: readonly LostRun[] = [],
  ): void {
    const { options, runs } = this.parts;
    const { ledger } = entry;
    const blamed = attributeCrash({
      host: ledger,
      loss,
      lostRuns,
      expectedMs: (step) => this.expectedMs(step),
      hasEnded: (run) => this.ended.get(runKeyOf(runRefOf(run))) === true,
    });
    const wasPlanned = ledger.worker.draining;
    if (loss === "crashed" && !wasPlanned && !isProven(blamed)) {
      this.noteUnexplained(ledger.host);
    }
    if (ledger.runs.size === 0) return;
    options.logger.warn("host.runs-lost", {
      host: ledger.host,
      instance: ledger.instance,
      reason,
      runs: ledger.runs.size,
      blamed: blamed.size,
    });
    for (const run of [...ledger.runs.values()]) {
      this.judged.set(runKeyOf(runRefOf(run)), true);
      runs.returnRun(entry, run, reason);
    }
    const toldOpen = keysOfOpen(lostRuns);
    for (const [run, evidence] of blamed) {
      const isToldOpen = toldOpen.has(runKeyOf(runRefOf(run)));
      const order = isToldOpen ? "told-open" : orderOf(run);
      this.note(ledger.host, run, evidence, order);
    }
  }

  /** The answer to its order shows that a lost run never began: it speaks against nothing. */
  handleNeverStarted({ task, run }: TaskRun): void {
    const { job } = task.step;
    if (job.isEnded || !task.crashLog.remove(run)) return;
    const { clock, logger, metrics } = this.parts.options;
    metrics.count("task_crashes_taken_back");
    const { points } = task.crashLog;
    logger.info("task.crash-taken-back", { task: task.id, run, points });
    if (this.endWait(task, run)) task.heldUntil = clock.monotonic();
    this.keep(job, task);
    this.parts.requestCycle();
  }

  /** Takes which runs had ended before their workers crashed: these speak against nothing. */
  recordUnreportedEnds(refs: readonly RunRef[]): void {
    for (const ref of refs) this.ended.set(runKeyOf(ref), true);
  }

  /**
   * Takes what a side tells of lost runs that never began. A former leader may have
   * ordered them, and have ended before their orders were answered.
   */
  handleNeverStartedRuns(refs: readonly RunRef[]): void {
    for (const ref of refs) {
      this.judged.set(runKeyOf(ref), true);
      const task = this.parts.jobs.findTask(ref.task);
      if (task) this.handleNeverStarted({ task, run: ref.run });
    }
  }

  /** Whether workers of other hosts were lost at about that time, without a suspected task. */
  private othersWereLost(host: HostId, at: Monotonic): boolean {
    return [...this.unexplained].some(
      ([other, lostAt]) =>
        other !== host && Math.abs(lostAt - at) < CRASH_LIMITS.correlatedLossMs,
    );
  }

  /** Notes a loss without proof against a task; forgets those that no proof asks for any more. */
  private noteUnexplained(host: HostId): void {
    const now = this.parts.options.clock.monotonic();
    // Proof asks after its own wait for losses that came up to as long before it.
    const oldest = now - 2 * CRASH_LIMITS.correlatedLossMs;
    for (const [other, lostAt] of [...this.unexplained]) {
      if (lostAt < oldest) this.unexplained.delete(other);
    }
    this.unexplained.set(host, now);
  }

  /**
   * Takes what a side tells of runs that were lost before it spoke to this leader:
   * a former one may have ended without having heard of them.
   */
  handleReportedLosses(host: HostId, lostRuns: readonly LostRun[]): void {
    const open = lostRuns.flatMap((lost) => this.openLoss(lost));
    const young = open.filter(
      ({ lost }) => !hasSettledAfter(lost.workedMs ?? 0),
    );
    const [only] = young;
    // Beside another run that had just begun, the one that began apart may be free of it.
    const isSole =
      only && young.length === 1 && beganApart(only.task, only.lost);
    for (const { task, lost } of isSole ? [only] : open) {
      const sight = lostRunStateOf(lost, this.expectedMs(task.step));
      const evidence = isSole
        ? evidenceOfIsolatedRun(task, lost.workedMs !== undefined, sight)
        : evidenceOfSharedRun(lost.workedMs, sight);
      const run = { task, run: lost.run };
      this.note(host, run, evidence, lost.isOrderOpen ? "told-open" : "over");
    }
    for (const lost of lostRuns) {
      this.judged.set(runKeyOf(lost), true);
      if (!lost.isOrderOpen) this.noteOrderOver(lost);
    }
  }

  /** No answer will take the count of that run back: a task held for one is judged. */
  private noteOrderOver(lost: LostRun): void {
    const task = this.parts.jobs.findTask(lost.task);
    if (!task || !this.awaitingAnswer.get(task)?.isToldBySide) return;
    if (!this.endWait(task, lost.run)) return;
    task.heldUntil = this.parts.options.clock.monotonic();
    this.keep(task.step.job, task);
    this.parts.requestCycle();
  }

  /** @returns whether the task was held for the answer to the order of that run */
  private endWait(task: JobTask, run: RunNumber): boolean {
    const awaited = this.awaitingAnswer.get(task);
    if (awaited?.run !== run) return false;
    awaited.timer.cancel();
    return this.awaitingAnswer.delete(task);
  }

  /** How long a run of the step is expected to take; undefined for one that lasts. */
  private expectedMs(step: StepRun): number | undefined {
    return step.spec.lasting ? undefined : this.parts.estimates.taskMs(step);
  }

  /** The task of a lost run that no leader has judged, as far as is known. */
  private openLoss(lost: LostRun): { task: JobTask; lost: LostRun }[] {
    const task = this.parts.jobs.findTask(lost.task);
    if (!task) return [];
    const evidence = task.crashLog.evidenceOf(lost.run);
    const isJudged = evidence !== undefined || this.judged.get(runKeyOf(lost));
    // That its host had been silent was all that was known of the run.
    return isJudged && evidence !== "lost" ? [] : [{ task, lost }];
  }

  /**
   * Counts a run that a former leader announced and that nobody has seen since, and
   * gives the task up where a former leader had proof, and no time to act on it.
   */
  resolvePreviousRun(task: JobTask): void {
    const { job } = task.step;
    const isNew = job.resolveWriteAheadRun(task);
    if (isNew) this.logCount(task, "unknown");
    if (isNew || job.hasReachedCrashLimit(task)) this.keep(job, task);
  }

  private note(
    host: HostId,
    { task, run }: TaskRun,
    evidence: CrashEvidence,
    order: OrderState,
  ): void {
    const { job } = task.step;
    if (job.isEnded || task.phase === "done") return;
    if (task.writeAheadRun === run) task.writeAheadRun = undefined;
    task.crashLog.record(run, evidence);
    this.logCount(task, evidence, run, host);
    if (evidence === "sole") this.doubtLater(host, task, run);
    else if (order !== "over" && job.hasReachedCrashLimit(task)) {
      this.awaitAnswer(task, run, order === "told-open");
    } else this.keep(job, task);
  }

  /**
   * Workers that are lost together were seldom lost by one task, and they are not
   * heard of at the same time. So proof waits for them, and the task with it:
   * judged at once, tasks that crashed nothing would be given up.
   */
  private doubtLater(host: HostId, task: JobTask, run: RunNumber): void {
    const at = this.parts.options.clock.monotonic();
    this.parts.progressRecorder.recordJob(task.step.job);
    this.judgeLater(task, CRASH_LIMITS.correlatedLossMs, () => {
      if (task.step.job.isEnded || !this.othersWereLost(host, at)) return;
      task.crashLog.record(run, "doubted");
      this.logCount(task, "doubted", run, host);
    });
  }

  /** The store is not told before: the next leader would give the task up at once. */
  private awaitAnswer(
    task: JobTask,
    run: RunNumber,
    isToldBySide: boolean,
  ): void {
    this.awaitingAnswer.get(task)?.timer.cancel();
    const timer = this.judgeLater(task, ENGINE.orderTimeoutMs, () =>
      this.awaitingAnswer.delete(task),
    );
    this.awaitingAnswer.set(task, { run, isToldBySide, timer });
  }

  /** Holds the task until all that speaks for it has had time to arrive. */
  private judgeLater(task: JobTask, ms: number, onDue: () => void): Timer {
    const { options, requestCycle: requestPass } = this.parts;
    const { job } = task.step;
    task.heldUntil = options.clock.monotonic() + ms;
    return options.clock.after(ms, () => {
      onDue();
      if (job.isEnded) return;
      this.keep(job, task);
      requestPass();
    });
  }

  private keep(job: JobRun, task: JobTask): void {
    const { closer, progressRecorder: keeper } = this.parts;
    closer.finishIfEnded(job, task);
    if (!job.isEnded) keeper.recordJob(job);
  }

  private logCount(
    task: JobTask,
    evidence: CrashEvidence,
    run?: RunNumber,
    host?: HostId,
  ): void {
    const { logger, metrics } = this.parts.options;
    metrics.count("task_crashes", { evidence });
    const { points, crashCount: crashes, isSuspect } = task.crashLog;
    logger.warn("task.crash-counted", {
      task: task.id,
      run,
      host,
      evidence,
      crashes,
      points,
      isSuspect,
    });
  }
}

const orderOf = ({ phase }: ActiveRun): OrderState =>
  phase === "starting" ? "open" : "over";

/** Of the runs that a side tells of, those whose orders are still being repeated. */
const keysOfOpen = (lostRuns: readonly LostRun[]): ReadonlySet<string> =>
  new Set(lostRuns.filter((lost) => lost.isOrderOpen).map(runKeyOf));

const isProven = (blamed: ReadonlyMap<ActiveRun, CrashEvidence>): boolean =>
  [...blamed.values()].some((evidence) => PROOFS.includes(evidence));

/** Whether the lost run was the announced one of its task, had just begun, and broke a look off. */
const beganApart = (
  { writeAheadRun: announced, crashLog: crashes }: JobTask,
  { run, workedMs = 0, wasAtWork }: LostRun,
): boolean => wasAtWork && announced === run && workedMs < crashes.isolationMs;
