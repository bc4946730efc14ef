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
  /** Runs that failed. Reports of them may reach a new leader in any order and repeatedly. */
  readonly failedRuns = new Set<number>();
  /** Evidence from its runs that were lost with their workers. */
  readonly crashLog = new CrashLog();
  /**
   * The run that a write-ahead record in the store names: it was persisted before the
   * run was ordered. Undefined once the end of that run is known, and for tasks that
   * are not suspected of crashing workers.
   */
  writeAheadRun: RunNumber | undefined;
  /** The task is not started before this time: until then it may still fail permanently. */
  notBefore: Monotonic = -Infinity;
  /**
   * The host of its last start, unless that run is known to be over. A task that waits
   * has one only if it was read from a record of a previous leader.
   */
  placedOn: HostId | undefined;
  /** The checkpoint from which the next run resumes; empty if there is none. */
  checkpoint = "";
  /** The last hosts on which the task failed or stalled. */
  readonly avoidedHosts: HostId[] = [];

  constructor(
    readonly step: StepRun,
    readonly index: number,
  ) {
    const { job, occurrence, number } = step;
    this.id = taskIdAt({ job: job.id, occurrence, step: number, index });
  }
}

const MAX_AVOIDED_HOSTS = 4;

export const avoidHost = (task: JobTask, host: HostId): void => {
  if (task.avoidedHosts.includes(host)) return;
  task.avoidedHosts.push(host);
  if (task.avoidedHosts.length > MAX_AVOIDED_HOSTS) task.avoidedHosts.shift();
};
