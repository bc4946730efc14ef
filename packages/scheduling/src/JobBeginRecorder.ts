/**
 * Records which jobs have begun, that is, of which a worker has started a task. Callers see
 * it in the job's state and in the number of pending jobs. It is persisted with the next
 * record of the job, or after a while, so that short jobs need no record of their own.
 */

import {
  describeError,
  type Clock,
  type Logger,
  type Timer,
} from "@rackspan/common";
import type {
  ActiveRun,
  JobRun,
  JobTask,
  ProgressJournal,
} from "@rackspan/jobs";
import type { RunOutcome } from "@rackspan/ports";
import type { FirstStartMonitor } from "./FirstStartMonitor.js";
import type { HostRegistry } from "./HostRegistry.js";

/** Callers may see a job as pending for 2 s after it has begun, milliseconds. */
const PERSIST_DELAY_MS = 1_000;

/** How a run of a gang ends only if all of its members were present. */
const GANG_BEGAN: readonly RunOutcome[] = ["done", "failed", "broken"];

export interface JobBeginRecorderOptions {
  readonly hosts: HostRegistry;
  readonly journal: ProgressJournal;
  readonly firstStarts: FirstStartMonitor;
  readonly clock: Clock;
  readonly logger: Logger;
}

export class JobBeginRecorder {
  private readonly unpersisted = new Set<JobRun>();
  private timer: Timer | undefined;

  constructor(private readonly options: JobBeginRecorderOptions) {}

  stop(): void {
    this.timer?.cancel();
  }

  /** Called when a worker has confirmed or listed the run. */
  recordRun({ task }: Pick<ActiveRun, "task">): void {
    if (!this.isPending(task)) return;
    if (task.step.spec.gang && !this.isGangComplete(task)) return;
    this.recordBegin(task.step.job);
  }

  /** Called when a worker lists the end of a run of the task. */
  recordEnd(task: JobTask, outcome: RunOutcome): void {
    if (!this.isPending(task)) return;
    if (task.step.spec.gang && !GANG_BEGAN.includes(outcome)) return;
    this.recordBegin(task.step.job);
  }

  /** Whether it is not known yet, or not going to be persisted, that the job has begun. */
  private isPending({ step: { job } }: JobTask): boolean {
    if (job.isEnded || this.unpersisted.has(job)) return false;
    return !job.begun || job.isBeginUnpersisted;
  }

  /** A gang begins when all of its members are present. */
  private isGangComplete({ step }: JobTask): boolean {
    const placed = this.options.hosts.placedRunsOf(step.tasks);
    return (
      placed.length === step.tasks.length - step.doneCount &&
      placed.every(({ run }) => run.phase === "running")
    );
  }

  private recordBegin(job: JobRun): void {
    job.markBegun();
    this.options.firstStarts.recordStart(job);
    this.unpersisted.add(job);
    this.timer ??= this.options.clock.after(PERSIST_DELAY_MS, () => {
      this.timer = undefined;
      this.persist();
    });
  }

  private persist(): void {
    const { journal, logger } = this.options;
    const jobs = [...this.unpersisted].filter(
      ({ isEnded, isBeginUnpersisted }) => isBeginUnpersisted && !isEnded,
    );
    this.unpersisted.clear();
    for (const job of jobs) {
      // After a failure the job's next record says so, or that of the next leader.
      journal.persist(job).catch((err: unknown) =>
        logger.warn("job.begin-not-kept", {
          job: job.id,
          error: describeError(err),
        }),
      );
    }
  }
}
