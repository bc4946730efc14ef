/** Processes the ended runs that workers list, in the order in which they ended. */

import {
  avoidHost,
  type ActiveRun,
  type JobRun,
  type JobTask,
} from "@rackspan/jobs";
import type { EndedRun } from "@rackspan/ports";
import type { EngineParts } from "./engineParts.js";
import type { HostEntry, PlacedRun } from "./engineTypes.js";
import { FULL_PROGRESS } from "./learnInterference.js";
import type { JobBeginRecorder } from "./JobBeginRecorder.js";
import type { JobFinisher } from "./JobFinisher.js";
import type { LoadSummaryPublisher } from "./LoadSummaryPublisher.js";
import type { ProgressRecorder } from "./ProgressRecorder.js";

const NO_CHECKPOINT = "";

export interface RunEndHandlerOptions extends EngineParts {
  readonly jobFinisher: JobFinisher;
  readonly progressRecorder: ProgressRecorder;
  readonly loadPublisher: LoadSummaryPublisher;
  readonly begins: JobBeginRecorder;
}

export class RunEndHandler {
  constructor(private readonly parts: RunEndHandlerOptions) {}

  handleEnds(entry: HostEntry, ended: readonly EndedRun[]): void {
    if (ended.length === 0) return;
    const changed = new Set<JobRun>();
    for (const end of ended) {
      const job = this.handleEnd(entry, end);
      if (job) changed.add(job);
    }
    this.parts.progressRecorder.recordEnds(entry, this.jobsOf(ended), changed);
    this.parts.requestCycle();
  }

  private jobsOf(ended: readonly EndedRun[]): Set<JobRun> {
    const { jobs } = this.parts;
    const tasks = ended.map(({ task }) => jobs.findTask(task));
    return new Set(tasks.flatMap((task) => (task ? [task.step.job] : [])));
  }

  /** @returns the job if its progress has changed and must be persisted */
  private handleEnd(entry: HostEntry, end: EndedRun): JobRun | undefined {
    const { jobs, hosts, runStarter, jobFinisher } = this.parts;
    const task = jobs.findTask(end.task);
    const placed = task && hosts.placementOf(task);
    const active =
      placed?.host === entry && placed.run.run === end.run ? placed : undefined;
    this.logEnd(entry, end, active);
    entry.hostState.removeOrphan(end);
    if (!task) return undefined;
    const { job } = task.step;
    if (active) hosts.release(entry, active.run);
    if (job.isEnded) return undefined;
    this.parts.begins.recordEnd(task, end.outcome);
    // The host lists its end although its leases were over by the count of the leader.
    const isWithdrawn =
      end.outcome === "done" &&
      !task.step.spec.lasting &&
      runStarter.withdrawUnsent(task, "earlier-run-done");
    if (!active && placed && !isWithdrawn)
      return this.handleEarlierRunEnd(task, end);
    const changed = job.recordEnd(task, end.run, end.outcome, end.checkpoint);
    this.recordOutcome(entry, task, end, active);
    if (end.outcome === "done" && task.step.spec.gang) {
      job.markGangDone(task.step);
    }
    runStarter.notifyWaiting(task);
    jobFinisher.finishIfEnded(job, task);
    return changed || job.isEnded ? job : undefined;
  }

  /**
   * Handles the end of a run while a later run of the task is placed. Only a failure
   * counts: a new leader receives the hosts' reports in any order, and ignoring a
   * failure would allow a start beyond the task's attempt limit. The checkpoint of the
   * earlier run does not count, since the later run may have saved a newer one.
   */
  private handleEarlierRunEnd(
    task: JobTask,
    end: EndedRun,
  ): JobRun | undefined {
    if (end.outcome !== "failed") return undefined;
    const { job } = task.step;
    const changed = job.recordEnd(task, end.run, end.outcome, NO_CHECKPOINT);
    this.parts.jobFinisher.finishIfEnded(job, task);
    return changed ? job : undefined;
  }

  private logEnd(
    { hostState }: HostEntry,
    { task, run, outcome, number }: EndedRun,
    active: PlacedRun | undefined,
  ): void {
    const { clock, logger, metrics } = this.parts.options;
    metrics.count("task_ends", { outcome });
    logger.info("task.ended", {
      task,
      run,
      host: hostState.host,
      outcome,
      number,
      ranMs: active
        ? Math.round(clock.monotonic() - active.run.startedAt)
        : undefined,
      pace: active?.run.meanPace.share?.toFixed(2),
    });
  }

  private recordOutcome(
    { hostState }: HostEntry,
    task: JobTask,
    { outcome }: EndedRun,
    active: PlacedRun | undefined,
  ): void {
    const { options, ejector, estimates } = this.parts;
    const { host } = hostState;
    if (outcome === "done") {
      ejector.report({ host, ok: true });
      this.parts.waits.recordDone(task.step, options.clock.monotonic());
      if (active) this.parts.loadPublisher.recordDone(task.step);
      // A run that continued from a checkpoint took less time than the whole task.
      if (!active || task.checkpoint !== "") return;
      const tookMs = options.clock.monotonic() - active.run.startedAt;
      estimates.recordRunTime(task.step, tookMs);
    }
    if (outcome !== "failed") return;
    ejector.report({ host, ok: false });
    if (!active || !hasServed(active.run)) avoidHost(task, host);
  }
}

/**
 * Whether a lasting task was at work before it failed. Such a failure says little about
 * its host, and a host without lasting tasks is worth more to others.
 */
const hasServed = ({ task, progressPercent }: ActiveRun): boolean =>
  task.step.spec.lasting && progressPercent >= FULL_PROGRESS;
