/**
 * Persists checkpoints of running tasks at an interval, so that their work survives
 * when all processes and workers are lost at once.
 */

import {
  describeError,
  type Clock,
  type Logger,
  type Timer,
} from "@rackspan/common";
import type { JobRun, JobTask, ProgressJournal } from "@rackspan/jobs";

export interface CheckpointWriterOptions {
  readonly journal: ProgressJournal;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Milliseconds; 0 for never. */
  readonly intervalMs: number;
}

export class CheckpointWriter {
  /** Jobs with checkpoints that are not persisted yet. */
  private readonly changed = new Set<JobRun>();
  private timer: Timer | undefined;

  constructor(private readonly options: CheckpointWriterOptions) {}

  stop(): void {
    this.timer?.cancel();
  }

  /** Tracks tasks that a host has just reported. */
  trackTasks(tasks: Iterable<JobTask>): void {
    const { clock, intervalMs } = this.options;
    if (intervalMs === 0) return;
    for (const { step } of tasks) {
      if (step.job.hasUnpersistedProgress) this.changed.add(step.job);
    }
    if (this.changed.size === 0 || this.timer) return;
    this.timer = clock.after(intervalMs, () => {
      this.timer = undefined;
      this.writeChanged();
    });
  }

  private writeChanged(): void {
    const { journal, logger } = this.options;
    const jobs = [...this.changed].filter(
      ({ isEnded, hasUnpersistedProgress }) =>
        hasUnpersistedProgress && !isEnded,
    );
    this.changed.clear();
    if (jobs.length === 0) return;
    logger.debug("checkpoints.kept", { jobs: jobs.length });
    for (const job of jobs) {
      journal.persist(job).catch((err: unknown) =>
        // Another leader has taken over, and persists the checkpoints that it receives
        // itself.
        logger.warn("checkpoints.not-kept", {
          job: job.id,
          error: describeError(err),
        }),
      );
    }
  }
}
