/** All hosts that the leader knows, and which run of a task is where. */

import type { HostId } from "@rackspan/common";
import type { ActiveRun, JobRun, JobTask } from "@rackspan/jobs";
import type { HostEntry, PlacedRun } from "./engineTypes.js";

export class HostBook {
  private readonly entries = new Map<HostId, HostEntry>();
  private readonly placed = new Map<JobTask, PlacedRun>();
  private readonly runsOfJob = new Map<JobRun, number>();

  get(host: HostId): HostEntry | undefined {
    return this.entries.get(host);
  }

  set(entry: HostEntry): void {
    this.entries.set(entry.ledger.host, entry);
  }

  delete(host: HostId): void {
    this.entries.delete(host);
  }

  all(): Iterable<HostEntry> {
    return this.entries.values();
  }

  placementOf(task: JobTask): PlacedRun | undefined {
    return this.placed.get(task);
  }

  place(host: HostEntry, run: ActiveRun): void {
    host.ledger.add(run);
    this.placed.set(run.task, { host, run });
    this.countRun(run, 1);
  }

  /** Frees the run's room; does nothing when it was freed before. */
  release(host: HostEntry, run: ActiveRun): void {
    host.ledger.remove(run);
    if (this.placed.get(run.task)?.run !== run) return;
    this.placed.delete(run.task);
    this.countRun(run, -1);
  }

  hasRunsOf(job: JobRun): boolean {
    return this.runsOfJob.has(job);
  }

  /** Runs of the given tasks that are placed now. */
  runsOf(tasks: Iterable<JobTask>): PlacedRun[] {
    const runs: PlacedRun[] = [];
    for (const task of tasks) {
      const placed = this.placed.get(task);
      if (placed) runs.push(placed);
    }
    return runs;
  }

  private countRun({ task }: ActiveRun, by: 1 | -1): void {
    const { job } = task.step;
    const count = (this.runsOfJob.get(job) ?? 0) + by;
    if (count === 0) this.runsOfJob.delete(job);
    else this.runsOfJob.set(job, count);
  }
}
