/** The leader's state of one task of a step, across all runs of the task. */

import type { HostId, JobTaskId, Monotonic, RunNumber } from "@rackspan/common";
import { taskIdAt } from "@rackspan/state";
import { CrashLog } from "./CrashLog.js";
import type { StepRun } from "./StepRun.js";

export type TaskPhase = "waiting" | "placed" | "done";

/** One task of a step; at most one of its runs is active at a time. */
export class JobTask {
  readonly id: JobTaskId;
  phase: TaskPhase = "waiting";
  /** Evidence from its runs that were lost with their workers. */
  readonly crashLog = new CrashLog([], this);
  private readonly failed = new Set<number>();
  private announcedRun: RunNumber | undefined;
  private lastHost: HostId | undefined;
  private lastCheckpoint = "";
  /** The task is not started before this time: until then it may still fail permanently. */
  notBefore: Monotonic = -Infinity;
  /** The last hosts on which the task failed or stalled. */
  readonly avoidedHosts: HostId[] = [];

  constructor(
    readonly step: StepRun,
    readonly index: number,
  ) {
    const { job, occurrence, number } = step;
    this.id = taskIdAt({ job: job.id, occurrence, step: number, index });
  }

  /** Runs that failed. Reports of them may reach a new leader in any order and repeatedly. */
  get failedRuns(): ReadonlySet<number> {
    return this.failed;
  }

  /**
   * The run that a write-ahead record in the store names: it was persisted before the
   * run was ordered. Undefined once the end of that run is known, and for tasks that
   * are not suspected of crashing workers.
   */
  get writeAheadRun(): RunNumber | undefined {
    return this.announcedRun;
  }

  set writeAheadRun(run: RunNumber | undefined) {
    this.announcedRun = run;
    this.markChanged();
  }

  /**
   * The host of its last start, unless that run is known to be over. A task that waits
   * has one only if it was read from a record of a previous leader.
   */
  get placedOn(): HostId | undefined {
    return this.lastHost;
  }

  set placedOn(host: HostId | undefined) {
    this.lastHost = host;
    this.markChanged();
  }

  /** The checkpoint from which the next run resumes; empty if there is none. */
  get checkpoint(): string {
    return this.lastCheckpoint;
  }

  set checkpoint(checkpoint: string) {
    this.lastCheckpoint = checkpoint;
    this.markChanged();
  }

  recordFailure(run: number): void {
    this.step.job.markBegun();
    this.failed.add(run);
    this.markChanged();
  }

  /** Sets the host that the record of a previous leader names. */
  restorePlacement(host: HostId): void {
    this.lastHost = host;
  }

  /** Marks the task for the next record of its progress. */
  markChanged(): void {
    this.step.changedTasks.add(this.index);
  }
}

const MAX_AVOIDED_HOSTS = 4;

export const avoidHost = (task: JobTask, host: HostId): void => {
  if (task.avoidedHosts.includes(host)) return;
  task.avoidedHosts.push(host);
  if (task.avoidedHosts.length > MAX_AVOIDED_HOSTS) task.avoidedHosts.shift();
};
