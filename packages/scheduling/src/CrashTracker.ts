/**
 * Counts the runs that are lost with their workers, and fails the job of a task that
 * crashes its workers. The counts are persisted with the job's progress: the next
 * leader continues with them, and neither a new incarnation of a worker nor a new entry
 * of its host resets them.
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
  readonly jobFinisher: JobFinisher;
  readonly progressRecorder: ProgressRecorder;
}

const PROOF_EVIDENCE: readonly CrashEvidence[] = ["sole", "unanswered"];

/**
 * Whether the answer to the start order of a lost run may still arrive, and who reports
 * it: `told-open` means that the side has reported the order as open.
 */
type OrderState = "open" | "told-open" | "over";

type TaskRun = Pick<ActiveRun, "task" | "run">;

interface AwaitedAnswer {
  readonly run: RunNumber;
  /**
   * Whether the side has reported that the order is open; it then also reports when the
   * order is closed.
   */
  readonly isReportedBySide: boolean;
  readonly timer: Timer;
}

/**
 * Number of judged runs that are remembered. A side repeats its reports until they are
 * acknowledged.
 */
const MAX_JUDGED = 10_000;

export class CrashTracker {
  /**
   * Lost runs that this leader has judged, including those that it did not count
   * against their tasks.
   */
  private readonly judged = new BoundedMap<string, true>(MAX_JUDGED);

  /** Runs that had ended before their workers crashed, as reported by sides. */
  private readonly endedRuns = new BoundedMap<string, true>(MAX_JUDGED);

  /**
   * When the worker of a host was last lost without proof against a task. Whatever
   * ended that worker may have ended others, too.
   */
  private readonly unexplainedLosses = new Map<HostId, Monotonic>();

  /**
   * Tasks that are held until the start order of a run is answered, because counting
   * that run reaches the crash limit.
   */
  private readonly awaitingAnswer = new Map<JobTask, AwaitedAnswer>();

  constructor(private readonly parts: CrashTrackerOptions) {}

  /**
   * Handles the loss of a worker incarnation with all its runs: their tasks wait again,
   * except those that have reached the crash limit.
   * @param reason what showed the loss, for logs
   * @param lostRuns what the side reports about these runs
   */
  handleLostRuns(
    entry: HostEntry,
    loss: WorkerLoss,
    reason: string,
    lostRuns: readonly LostRun[] = [],
  ): void {
    const { options, runStarter } = this.parts;
    const { hostState } = entry;
    this.withdrawUnsent(entry, reason);
    const blamed = attributeCrash({
      host: hostState,
      loss,
      lostRuns,
      expectedMs: (step) => this.expectedMs(step),
      hasEnded: (run) => this.endedRuns.get(runKeyOf(runRefOf(run))) === true,
    });
    const wasPlanned = hostState.worker.draining;
    if (loss === "crashed" && !wasPlanned && !isProven(blamed)) {
      this.recordUnexplained(hostState.host);
    }
    if (hostState.runs.size === 0) return;
    options.logger.warn("host.runs-lost", {
      host: hostState.host,
      instance: hostState.instance,
      reason,
      runs: hostState.runs.size,
      blamed: blamed.size,
    });
    for (const run of [...hostState.runs.values()]) {
      this.judged.set(runKeyOf(runRefOf(run)), true);
      runStarter.returnRun(entry, run, reason);
    }
    const openKeys = openOrderKeys(lostRuns);
    for (const [run, evidence] of blamed) {
      const isReportedOpen = openKeys.has(runKeyOf(runRefOf(run)));
      const order = isReportedOpen ? "told-open" : orderStateOf(run);
      this.recordEvidence(hostState.host, run, evidence, order);
    }
  }

  /** A run whose order was not sent is not lost with the worker. */
  private withdrawUnsent(entry: HostEntry, reason: string): void {
    for (const run of [...entry.hostState.runs.values()]) {
      if (run.phase !== "unsent") continue;
      this.parts.runStarter.withdraw(entry, run, reason);
    }
  }

  /**
   * Withdraws the count of a lost run after the answer to its order showed that it
   * never started.
   */
  handleNeverStarted({ task, run }: TaskRun): void {
    const { job } = task.step;
    if (job.isEnded || !task.crashLog.remove(run)) return;
    const { clock, logger, metrics } = this.parts.options;
    metrics.count("task_crashes_taken_back");
    const { points } = task.crashLog;
    logger.info("task.crash-taken-back", { task: task.id, run, points });
    if (this.stopAwaiting(task, run)) task.notBefore = clock.monotonic();
    this.persistOrFinish(job, task);
    this.parts.requestCycle();
  }

  /**
   * Records runs that had ended before their workers crashed. They are no evidence
   * against their tasks.
   */
  recordUnreportedEnds(refs: readonly RunRef[]): void {
    for (const ref of refs) this.endedRuns.set(runKeyOf(ref), true);
  }

  /**
   * Handles lost runs that never started, as reported by a side. A previous leader may
   * have ordered them and may have ended before their orders were answered.
   */
  handleNeverStartedRuns(refs: readonly RunRef[]): void {
    for (const ref of refs) {
      this.judged.set(runKeyOf(ref), true);
      const task = this.parts.jobs.findTask(ref.task);
      if (task) this.handleNeverStarted({ task, run: ref.run });
    }
  }

  /**
   * Whether workers of other hosts were lost at about that time without a suspect task.
   */
  private othersWereLost(host: HostId, at: Monotonic): boolean {
    return [...this.unexplainedLosses].some(
      ([other, lostAt]) =>
        other !== host && Math.abs(lostAt - at) < CRASH_LIMITS.correlatedLossMs,
    );
  }

  /**
   * Records a worker loss without proof against a task, and deletes records that no
   * proof can refer to any more.
   */
  private recordUnexplained(host: HostId): void {
    const now = this.parts.options.clock.monotonic();
    // Proof waits for `correlatedLossMs` and then considers losses up to as long before
    // it.
    const oldest = now - 2 * CRASH_LIMITS.correlatedLossMs;
    for (const [other, lostAt] of [...this.unexplainedLosses]) {
      if (lostAt < oldest) this.unexplainedLosses.delete(other);
    }
    this.unexplainedLosses.set(host, now);
  }

  /**
   * Handles reports of runs that were lost before their side connected to this leader.
   * The previous leader may have ended before it received them.
   */
  handleReportedLosses(host: HostId, lostRuns: readonly LostRun[]): void {
    const open = lostRuns.flatMap((lost) => this.unjudgedLosses(lost));
    const young = open.filter(
      ({ lost }) => !hasSettledAfter(lost.workedMs ?? 0),
    );
    const [only] = young;
    // If another run had just started as well, the isolated run may not be the cause of
    // the crash.
    const isSole =
      only && young.length === 1 && startedIsolated(only.task, only.lost);
    for (const { task, lost } of isSole ? [only] : open) {
      const runState = lostRunStateOf(lost, this.expectedMs(task.step));
      const evidence = isSole
        ? evidenceOfIsolatedRun(task, lost.workedMs !== undefined, runState)
        : evidenceOfSharedRun(lost.workedMs, runState);
      const run = { task, run: lost.run };
      this.recordEvidence(
        host,
        run,
        evidence,
        lost.isOrderOpen ? "told-open" : "over",
      );
    }
    for (const lost of lostRuns) {
      this.judged.set(runKeyOf(lost), true);
      if (!lost.isOrderOpen) this.handleOrderClosed(lost);
    }
  }

  /**
   * No answer can withdraw the count of that run any more, so a task that is held for
   * the answer is judged now.
   */
  private handleOrderClosed(lost: LostRun): void {
    const task = this.parts.jobs.findTask(lost.task);
    if (!task || !this.awaitingAnswer.get(task)?.isReportedBySide) return;
    if (!this.stopAwaiting(task, lost.run)) return;
    task.notBefore = this.parts.options.clock.monotonic();
    this.persistOrFinish(task.step.job, task);
    this.parts.requestCycle();
  }

  /** @returns whether the task was held for the answer to that run's order */
  private stopAwaiting(task: JobTask, run: RunNumber): boolean {
    const awaited = this.awaitingAnswer.get(task);
    if (awaited?.run !== run) return false;
    awaited.timer.cancel();
    return this.awaitingAnswer.delete(task);
  }

  /**
   * Returns how long a run of the step is expected to take; undefined for a lasting
   * step.
   */
  private expectedMs(step: StepRun): number | undefined {
    return step.spec.lasting ? undefined : this.parts.estimates.taskMs(step);
  }

  /**
   * Returns the task of a lost run that no leader has judged yet, as far as this one
   * has recorded.
   */
  private unjudgedLosses(lost: LostRun): { task: JobTask; lost: LostRun }[] {
    const task = this.parts.jobs.findTask(lost.task);
    if (!task) return [];
    const evidence = task.crashLog.evidenceOf(lost.run);
    const isJudged = evidence !== undefined || this.judged.get(runKeyOf(lost));
    // `lost` records only that the host was silent, so later evidence may replace it.
    return isJudged && evidence !== "lost" ? [] : [{ task, lost }];
  }

  /**
   * Counts a run that a previous leader recorded in the write-ahead log and that no
   * leader has seen since. Fails the job if a previous leader had recorded enough
   * evidence but ended before it acted on it.
   */
  resolvePreviousRun(task: JobTask): void {
    const { job } = task.step;
    const isNew = job.resolveWriteAheadRun(task);
    if (isNew) this.logEvidence(task, "unknown");
    if (isNew || job.hasReachedCrashLimit(task))
      this.persistOrFinish(job, task);
  }

  private recordEvidence(
    host: HostId,
    { task, run }: TaskRun,
    evidence: CrashEvidence,
    order: OrderState,
  ): void {
    const { job } = task.step;
    if (job.isEnded || task.phase === "done") return;
    if (task.writeAheadRun === run) task.writeAheadRun = undefined;
    task.crashLog.record(run, evidence);
    this.logEvidence(task, evidence, run, host);
    if (evidence === "sole") this.judgeProofLater(host, task, run);
    else if (order !== "over" && job.hasReachedCrashLimit(task)) {
      this.awaitAnswer(task, run, order === "told-open");
    } else this.persistOrFinish(job, task);
  }

  /**
   * Delays the judgement of a proof. Workers that are lost together were seldom lost
   * because of one task, and their losses are not reported at the same time. So the
   * proof and its task wait for those reports; judged at once, jobs would be failed for
   * tasks that crashed nothing.
   */
  private judgeProofLater(host: HostId, task: JobTask, run: RunNumber): void {
    const at = this.parts.options.clock.monotonic();
    this.parts.progressRecorder.recordJob(task.step.job);
    this.judgeLater(task, CRASH_LIMITS.correlatedLossMs, () => {
      if (task.step.job.isEnded || !this.othersWereLost(host, at)) return;
      task.crashLog.record(run, "doubted");
      this.logEvidence(task, "doubted", run, host);
    });
  }

  /**
   * Holds the task until the order is answered. The count is not persisted before,
   * since the next leader would fail the job at once.
   */
  private awaitAnswer(
    task: JobTask,
    run: RunNumber,
    isReportedBySide: boolean,
  ): void {
    this.awaitingAnswer.get(task)?.timer.cancel();
    const timer = this.judgeLater(task, ENGINE.orderTimeoutMs, () =>
      this.awaitingAnswer.delete(task),
    );
    this.awaitingAnswer.set(task, { run, isReportedBySide, timer });
  }

  /** Holds the task until all messages that may speak for it have had time to arrive. */
  private judgeLater(task: JobTask, ms: number, onDue: () => void): Timer {
    const { options, requestCycle } = this.parts;
    const { job } = task.step;
    task.notBefore = options.clock.monotonic() + ms;
    return options.clock.after(ms, () => {
      onDue();
      if (job.isEnded) return;
      this.persistOrFinish(job, task);
      requestCycle();
    });
  }

  private persistOrFinish(job: JobRun, task: JobTask): void {
    const { jobFinisher, progressRecorder } = this.parts;
    jobFinisher.finishIfEnded(job, task);
    if (!job.isEnded) progressRecorder.recordJob(job);
  }

  private logEvidence(
    task: JobTask,
    evidence: CrashEvidence,
    run?: RunNumber,
    host?: HostId,
  ): void {
    const { logger, metrics } = this.parts.options;
    metrics.count("task_crashes", { evidence });
    const { points, crashCount, isSuspect } = task.crashLog;
    logger.warn("task.crash-counted", {
      task: task.id,
      run,
      host,
      evidence,
      crashes: crashCount,
      points,
      isSuspect,
    });
  }
}

const orderStateOf = ({ phase }: ActiveRun): OrderState =>
  phase === "starting" ? "open" : "over";

/** Returns the keys of the reported runs whose start orders are still being repeated. */
const openOrderKeys = (lostRuns: readonly LostRun[]): ReadonlySet<string> =>
  new Set(lostRuns.filter((lost) => lost.isOrderOpen).map(runKeyOf));

const isProven = (blamed: ReadonlyMap<ActiveRun, CrashEvidence>): boolean =>
  [...blamed.values()].some((evidence) => PROOF_EVIDENCE.includes(evidence));

/**
 * Whether the lost run was the write-ahead run of its task, had just started, and was
 * at work when the side's poll broke off.
 */
const startedIsolated = (
  { writeAheadRun, crashLog }: JobTask,
  { run, workedMs = 0, wasAtWork }: LostRun,
): boolean =>
  wasAtWork && writeAheadRun === run && workedMs < crashLog.isolationMs;
