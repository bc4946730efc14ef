/** Adopts runs that a previous leader started, and stops those that are not wanted. */

import type { WorkerTime } from "@rackspan/common";
import {
  MeanPace,
  describeTask,
  createStopOrder,
  type ActiveRun,
  type JobTask,
  type OrphanRun,
} from "@rackspan/jobs";
import type { RunningTask } from "@rackspan/ports";
import type { EngineParts } from "./engineParts.js";
import type { HostEntry } from "./engineTypes.js";
import { knownPlacementOf } from "./PlacementLog.js";

export class RunAdopter {
  constructor(private readonly parts: EngineParts) {}

  /** @param rows runs that the host lists and that the leader has not recorded for it */
  adopt(entry: HostEntry, rows: readonly RunningTask[]): void {
    const { hosts } = this.parts;
    const adopted: JobTask[] = [];
    const orphans: OrphanRun[] = [];
    // Of two runs of one task the later one is adopted, since it was ordered last.
    const latestFirst = [...rows].sort((a, b) => b.run - a.run);
    for (const row of latestFirst) {
      const task = this.findWaitingTask(entry, row);
      if (!task) {
        orphans.push(this.orphanOf(entry, row));
        continue;
      }
      this.log("task.adopted", entry, row);
      task.step.job.recordCheckpoint(task, row.checkpoint);
      const recorded = knownPlacementOf(task);
      hosts.place(entry, this.runOf(entry, task, row));
      this.parts.placementLog?.correct(task, recorded);
      adopted.push(task);
    }
    entry.hostState.replaceOrphans(orphans);
    if (adopted.length === 0) return;
    entry.session?.describe(adopted.map(describeTask));
  }

  private findWaitingTask(
    entry: HostEntry,
    row: RunningTask,
  ): JobTask | undefined {
    const { jobs, runStarter } = this.parts;
    const task = jobs.findTask(row.task);
    if (!task || task.step.job.isEnded) return undefined;
    // A run that this leader has ordered to stop is not adopted in place of an unsent one.
    if (!entry.hostState.orphanOf(row))
      runStarter.withdrawUnsent(task, "earlier-run-listed");
    if (task.phase !== "waiting") return undefined;
    return this.mayRunElsewhere(entry, task) ? undefined : task;
  }

  /**
   * Whether a later run of the task may be on another host: its last start is recorded
   * there, and that host has not reported. If the listed run were adopted, its end would
   * let the task start beside the later run.
   */
  private mayRunElsewhere({ hostState }: HostEntry, task: JobTask): boolean {
    const placement = knownPlacementOf(task);
    if (!placement || placement.host === hostState.host) return false;
    const { gate, clock } = this.parts.options;
    const now = clock.monotonic();
    return !gate.mayStart(now, now, placement);
  }

  private runOf(
    { hostState }: HostEntry,
    task: JobTask,
    { run, progressPercent, reading }: RunningTask,
  ): ActiveRun {
    const now = this.parts.options.clock.monotonic();
    return {
      task,
      run,
      phase: "running",
      startedAt: now,
      // It is not known how long a write-ahead run of a previous leader has worked.
      isolationMs: task.writeAheadRun === run ? task.crashLog.isolationMs : 0,
      firstSeenAt: hostState.reportedAt,
      lastSeenAt: hostState.reportedAt,
      orderExpiresAt: hostState.reportedAt ?? (0 as unknown as WorkerTime),
      progressPercent,
      progressedAt: now,
      reading,
      meanPace: new MeanPace(),
      crawlingSince: undefined,
      stop: undefined,
    };
  }

  /**
   * Creates the orphan of a listed run and retains the stop order of an earlier report.
   * The task is looked up again: its job may have been read, or forgotten, since then.
   */
  private orphanOf(entry: HostEntry, row: RunningTask): OrphanRun {
    const known = entry.hostState.orphanOf(row);
    if (!known) this.log("task.stray", entry, row);
    return {
      run: { task: row.task, run: row.run },
      task: this.parts.jobs.findTask(row.task),
      stop: known?.stop ?? createStopOrder("unwanted"),
    };
  }

  private log(
    event: "task.adopted" | "task.stray",
    { hostState }: HostEntry,
    { task, run }: RunningTask,
  ): void {
    const { host } = hostState;
    this.parts.options.logger.info(event, { task, run, host });
  }
}
