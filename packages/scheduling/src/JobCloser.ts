/** Ends jobs: by their tasks, by spent attempts or by their callers. */

import type { JobRun, JobTask } from "@rackspan/jobs";
import type { JobStateName } from "@rackspan/state";
import type { EngineParts } from "./engineParts.js";
import type { LiveJob } from "./engineTypes.js";
import type { ProgressKeeper } from "./ProgressKeeper.js";

export interface JobCloserOptions extends EngineParts {
  readonly keeper: ProgressKeeper;
}

export class JobCloser {
  constructor(private readonly parts: JobCloserOptions) {}

  /** @param task the task whose run ended last */
  closeIfEnded(job: JobRun, task: JobTask): void {
    const live = this.parts.jobs.get(job.id);
    if (!live) return;
    if (job.isComplete) this.close(live, "completed", "all-tasks-done");
    else if (job.hasSpentAttempts(task)) {
      this.close(live, "failed", `attempts-spent:${task.id}`);
    } else if (job.hasSpentCrashes(task)) {
      this.close(live, "failed", `crashed-its-workers:${task.id}`);
    }
  }

  close(live: LiveJob, state: JobStateName, reason: string): void {
    const { options, jobs, keeper } = this.parts;
    const { clock, logger, metrics } = options;
    const { job } = live;
    job.end(state, clock.now());
    jobs.active.delete(live);
    metrics.count("job_ends", { state });
    logger.info("job.ended", {
      job: job.id,
      state,
      reason,
      ageMs: Math.round(clock.now() - job.accepted.acceptedAt),
    });
    this.stopRuns(job, `job-${state}`);
    keeper.keepJob(job);
  }

  private stopRuns(job: JobRun, reason: string): void {
    const { hosts, stops } = this.parts;
    for (const { tasks } of job.steps) {
      for (const { host, run } of hosts.runsOf(tasks)) {
        stops.stop(host, run, reason);
      }
    }
  }
}
