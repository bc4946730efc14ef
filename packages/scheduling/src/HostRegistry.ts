/**
 * All hosts that have reported to the leader, and the placement of runs on them. A task
 * waits again only when its run is released here: any other message about a run (an
 * answer, a report, a timer) may refer to one that was released before.
 */

import type { HostId } from "@rackspan/common";
import type { ActiveRun, JobRun, JobTask } from "@rackspan/jobs";
import type { HostEntry, PlacedRun } from "./engineTypes.js";

export class HostRegistry {
  private readonly entries = new Map<HostId, HostEntry>();
  private readonly placements = new Map<JobTask, PlacedRun>();
  private readonly runCountByJob = new Map<JobRun, number>();

  get(host: HostId): HostEntry | undefined {
    return this.entries.get(host);
  }

  set(entry: HostEntry): void {
    this.entries.set(entry.hostState.host, entry);
  }

  delete(host: HostId): void {
    this.entries.delete(host);
  }

  all(): Iterable<HostEntry> {
    return this.entries.values();
  }

  placementOf(task: JobTask): PlacedRun | undefined {
    return this.placements.get(task);
  }

  /** Whether the run is the current run of its task. */
  isCurrent(run: ActiveRun): boolean {
    return this.placements.get(run.task)?.run === run;
  }

  /** @returns false, without any effect, if the task already has a run */
  place(host: HostEntry, run: ActiveRun): boolean {
    const { task } = run;
    if (this.placements.has(task)) return false;
    host.hostState.add(run);
    this.placements.set(task, { host, run });
    this.countRun(run, 1);
    task.placedOn = host.hostState.host;
    task.step.job.markPlaced(task);
    return true;
  }

  /**
   * Releases the resources of the run and lets its task wait, unless the task is done.
   *
   * @returns false, without any effect, if the run was released before. Its task may
   *   have its next run by then: if a late answer made such a task wait, it would be
   *   started a second time while that run is active.
   */
  release(host: HostEntry, run: ActiveRun): boolean {
    if (!this.isCurrent(run)) return false;
    const { task } = run;
    host.hostState.remove(run);
    this.placements.delete(task);
    this.countRun(run, -1);
    task.placedOn = undefined;
    task.step.job.markWaiting(task);
    return true;
  }

  hasRunsOf(job: JobRun): boolean {
    return this.runCountByJob.has(job);
  }

  /** Returns the placed runs of the given tasks. */
  placedRunsOf(tasks: Iterable<JobTask>): PlacedRun[] {
    const runs: PlacedRun[] = [];
    for (const task of tasks) {
      const placement = this.placements.get(task);
      if (placement) runs.push(placement);
    }
    return runs;
  }

  private countRun({ task }: ActiveRun, by: 1 | -1): void {
    const { job } = task.step;
    const count = (this.runCountByJob.get(job) ?? 0) + by;
    if (count === 0) this.runCountByJob.delete(job);
    else this.runCountByJob.set(job, count);
  }
}
