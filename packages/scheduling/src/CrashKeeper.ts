/**
 * Counts the runs that are lost with their workers, and gives a task up that
 * crashes them. The count is kept with the job's progress: the next leader goes on
 * from it, and neither a worker's new life nor its host's entry resets it.
 */

import {
  blameCrash,
  type ActiveRun,
  type JobRun,
  type JobTask,
  type WorkerLoss,
} from "@rackspan/jobs";
import { isFinal, type CrashEvidence } from "@rackspan/state";
import type { HostEntry } from "./engineTypes.js";
import type { EngineParts } from "./engineParts.js";
import type { JobCloser } from "./JobCloser.js";
import type { ProgressKeeper } from "./ProgressKeeper.js";

export interface CrashKeeperOptions extends EngineParts {
  readonly closer: JobCloser;
  readonly keeper: ProgressKeeper;
}

export class CrashKeeper {
  constructor(private readonly parts: CrashKeeperOptions) {}

  /**
   * The worker's life is lost, and all its runs with it: their tasks wait again,
   * but for those that have crashed too many workers.
   * @param reason what showed it, for logs
   */
  loseRuns(entry: HostEntry, loss: WorkerLoss, reason: string): void {
    const { options, runs } = this.parts;
    const { ledger } = entry;
    if (ledger.runs.size === 0) return;
    const blamed = blameCrash(ledger, loss);
    options.logger.warn("host.runs-lost", {
      host: ledger.host,
      instance: ledger.instance,
      reason,
      runs: ledger.runs.size,
      blamed: blamed.size,
    });
    for (const run of [...ledger.runs.values()]) {
      runs.giveBack(entry, run, reason);
    }
    for (const [run, evidence] of blamed) this.note(entry, run, evidence);
  }

  /** Counts a run that a former leader announced and that nobody has seen since. */
  settle(task: JobTask): void {
    const { job } = task.step;
    if (!job.settleAnnounced(task)) return;
    this.logCount(task, "unknown");
    this.keep(job, task);
  }

  private note(
    entry: HostEntry,
    run: ActiveRun,
    evidence: CrashEvidence,
  ): void {
    const { task } = run;
    const { job } = task.step;
    if (isFinal(job.state) || task.phase === "done") return;
    task.crashes.note(run.run, evidence);
    this.logCount(task, evidence, run, entry);
    this.keep(job, task);
  }

  private keep(job: JobRun, task: JobTask): void {
    const { closer, keeper } = this.parts;
    closer.closeIfEnded(job, task);
    if (!isFinal(job.state)) keeper.keepJob(job);
  }

  private logCount(
    task: JobTask,
    evidence: CrashEvidence,
    run?: ActiveRun,
    entry?: HostEntry,
  ): void {
    const { logger, metrics } = this.parts.options;
    metrics.count("task_crashes", { evidence });
    const { points, crashes, isSuspect } = task.crashes;
    logger.warn("task.crash-counted", {
      task: task.id,
      run: run?.run,
      host: entry?.ledger.host,
      evidence,
      crashes,
      points,
      isSuspect,
    });
  }
}
