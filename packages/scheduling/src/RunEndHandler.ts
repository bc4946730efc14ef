/** Takes the ends of runs that workers list, in the order in which they came. */

import { avoidHost, type JobRun, type JobTask } from "@rackspan/jobs";
import type { EndedRun } from "@rackspan/ports";
import type { EngineParts } from "./engineParts.js";
import type { HostEntry, PlacedRun } from "./engineTypes.js";
import type { JobFinisher } from "./JobFinisher.js";
import type { ProgressRecorder } from "./ProgressRecorder.js";

const NO_CHECKPOINT = "";

export interface RunEndHandlerOptions extends EngineParts {
  readonly closer: JobFinisher;
  readonly progressRecorder: ProgressRecorder;
}

export class RunEndHandler {
  constructor(private readonly parts: RunEndHandlerOptions) {}

  handleEnds(entry: HostEntry, ended: readonly EndedRun[]): void {
    if (ended.length === 0) return;
    const changed = new Set<JobRun>();
    for (const end of voidOutlived(ended)) {
      const job = this.takeOne(entry, end);
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

  /** @returns the job when what must be kept of it has changed */
  private takeOne(entry: HostEntry, end: EndedRun): JobRun | undefined {
    const { jobs, hosts, runs, closer } = this.parts;
    const task = jobs.findTask(end.task);
    const placed = task && hosts.placementOf(task);
    const active =
      placed?.host === entry && placed.run.run === end.run ? placed : undefined;
    this.logEnd(entry, end, active);
    entry.ledger.removeOrphan(end);
    if (!task) return undefined;
    const { job } = task.step;
    if (active) hosts.release(entry, active.run);
    if (job.isEnded) return undefined;
    if (!active && placed) return this.takeEarlier(task, end);
    const changed = job.recordEnd(task, end.run, end.outcome, end.checkpoint);
    this.learn(entry, task, end, active);
    if (end.outcome === "done" && task.step.spec.gang) {
      job.markGangDone(task.step);
    }
    runs.notifyWaiting(task);
    closer.finishIfEnded(job, task);
    return changed || job.isEnded ? job : undefined;
  }

  /**
   * Takes the end of a run when a later one of the task is under way. Only a failure
   * counts: a new leader hears of runs in any order of hosts, and a failure that is
   * passed over would allow a start past the task's attempts. What the run had saved
   * does not: the later one may have saved more.
   */
  private takeEarlier(task: JobTask, end: EndedRun): JobRun | undefined {
    if (end.outcome !== "failed") return undefined;
    const { job } = task.step;
    const changed = job.recordEnd(task, end.run, end.outcome, NO_CHECKPOINT);
    this.parts.closer.finishIfEnded(job, task);
    return changed ? job : undefined;
  }

  private logEnd(
    { ledger }: HostEntry,
    { task, run, outcome, number }: EndedRun,
    active: PlacedRun | undefined,
  ): void {
    const { clock, logger, metrics } = this.parts.options;
    metrics.count("task_ends", { outcome });
    logger.info("task.ended", {
      task,
      run,
      host: ledger.host,
      outcome,
      number,
      ranMs: active
        ? Math.round(clock.monotonic() - active.run.startedAt)
        : undefined,
    });
  }

  private learn(
    { ledger }: HostEntry,
    task: JobTask,
    { outcome }: EndedRun,
    active: PlacedRun | undefined,
  ): void {
    const { options, ejector, estimates } = this.parts;
    const { host } = ledger;
    if (outcome === "done") {
      ejector.report({ host, ok: true });
      // A run that went on from a checkpoint took less than the whole task.
      if (!active || task.checkpoint !== "") return;
      const tookMs = options.clock.monotonic() - active.run.startedAt;
      estimates.recordRunTime(task.step, tookMs);
    }
    if (outcome !== "failed") return;
    ejector.report({ host, ok: false });
    avoidHost(task, host);
  }
}

/** An end that the lease outlived was never taken note of: it is void. */
const voidOutlived = (ended: readonly EndedRun[]): EndedRun[] => {
  const lastLapse = ended.findLastIndex(({ outcome }) => outcome === "lapsed");
  return ended.map((end, at) =>
    at < lastLapse && end.outcome !== "failed"
      ? { ...end, outcome: "lapsed" }
      : end,
  );
};
