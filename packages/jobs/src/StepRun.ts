/** One step of a job as the leader works on it, and which of its tasks wait. */

import type { Monotonic } from "@rackspan/common";
import type { StepSpec } from "@rackspan/state";
import { CrashLog } from "./CrashLog.js";
import type { JobRun } from "./JobRun.js";
import { JobTask } from "./JobTask.js";

/** One step in one occurrence of its job. */
export class StepRun {
  readonly tasks: readonly JobTask[];
  /** In index order. */
  readonly waiting: Set<JobTask>;
  doneCount = 0;
  /** Nothing of it is started before; set when a host refuses its ticket. */
  heldUntil: Monotonic = -Infinity;
  /** Since when a task of it has found no host; undefined when none waits. */
  unplacedSince: Monotonic | undefined;
  /** The checkpoint of any of its tasks that was heard of last; empty for none. */
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

  /** Runs in which any of its tasks failed: a gang fails as one, whichever began. */
  get failedRuns(): ReadonlySet<number> {
    return new Set(this.tasks.flatMap(({ failedRuns }) => [...failedRuns]));
  }

  /** Crashes under any of its tasks: a gang's members share their run numbers. */
  get crashLog(): CrashLog {
    return new CrashLog(this.tasks.flatMap(({ crashLog }) => crashLog.entries));
  }

  /** Estimated milliseconds of one task, at least one. */
  get estimateMs(): number {
    return Math.max(1, this.spec.estimateMs);
  }
}
