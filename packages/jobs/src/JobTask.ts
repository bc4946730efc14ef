/** One task of a step as the leader works on it, whichever of its runs is active. */

import type { HostId, JobTaskId, Monotonic, RunNumber } from "@rackspan/common";
import { taskIdAt } from "@rackspan/state";
import { CrashLog } from "./CrashLog.js";
import type { StepRun } from "./StepRun.js";

export type TaskPhase = "waiting" | "placed" | "done";

/** One task of a step; at most one of its runs is active at a time. */
export class JobTask {
  readonly id: JobTaskId;
  phase: TaskPhase = "waiting";
  /** Runs that failed. A new leader may hear of them in any order, and again. */
  readonly failedRuns = new Set<number>();
  /** Its runs that were lost with their workers. */
  readonly crashLog = new CrashLog();
  /**
   * The run that the store was told of before it was ordered; undefined once it is
   * known how that run ended, and for tasks that are not suspected.
   */
  writeAheadRun: RunNumber | undefined;
  /** It is not started before: until then it may yet be given up. */
  heldUntil: Monotonic = -Infinity;
  /** From which the next run goes on; empty for none. */
  checkpoint = "";
  /** Hosts where it failed or stood still, the last ones. */
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
