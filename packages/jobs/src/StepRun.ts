/** The leader's state of one step of a job, including which of its tasks wait. */

import type { Monotonic } from "@rackspan/common";
import type { StepSpec } from "@rackspan/state";
import { CrashLog } from "./CrashLog.js";
import type { JobRun } from "./JobRun.js";
import { JobTask } from "./JobTask.js";

/** One step within one occurrence of its job. */
export class StepRun {
  readonly tasks: readonly JobTask[];
  /** In index order. */
  readonly waiting: Set<JobTask>;
  /** Indices of the tasks whose progress has changed since it was last recorded. */
  readonly changedTasks = new Set<number>();
  doneCount = 0;
  /** No task of the step is started before this time; set when a host refuses its ticket. */
  notBefore: Monotonic = -Infinity;
  /** Since when a task of the step has found no host; undefined when none waits. */
  unplacedSince: Monotonic | undefined;
  /** The last received checkpoint of any of its tasks; empty if there is none. */
  newestCheckpoint = "";

  constructor(
    readonly job: JobRun,
    readonly occurrence: number,
    readonly number: number,
    readonly spec: StepSpec,
  ) {
    this.tasks = Array.from(
      { length: spec.taskCount },
      (_, index) => new JobTask(this, index),
    );
    this.waiting = new Set(this.tasks);
  }

  get isDone(): boolean {
    return this.doneCount === this.tasks.length;
  }

  /**
   * Runs in which any of its tasks failed. The members of a gang share their run
   * numbers, so a gang that failed in one run has failed once.
   */
  get failedRuns(): ReadonlySet<number> {
    return new Set(this.tasks.flatMap(({ failedRuns }) => [...failedRuns]));
  }

  /** Merged crash log of its tasks; the members of a gang share their run numbers. */
  get crashLog(): CrashLog {
    return new CrashLog(this.tasks.flatMap(({ crashLog }) => crashLog.entries));
  }

  /** Estimated run time of one task in milliseconds, at least 1. */
  get estimateMs(): number {
    return Math.max(1, this.spec.estimateMs);
  }
}
