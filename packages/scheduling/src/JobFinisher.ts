/**
 * Ends jobs whose tasks are all done, whose tasks have reached a limit, or that were
 * cancelled by their callers.
 */

import type { JobRun, JobTask } from "@rackspan/jobs";
import type { JobStateName } from "@rackspan/state";
import type { EngineParts } from "./engineParts.js";
import type { TrackedJob } from "./engineTypes.js";
import type { ProgressRecorder } from "./ProgressRecorder.js";

export interface JobFinisherOptions extends EngineParts {
  readonly progressRecorder: ProgressRecorder;
}

export class JobFinisher {
  constructor(private readonly parts: JobFinisherOptions) {}

  /** @param task the task whose run ended last */
  finishIfEnded(job: JobRun, task: JobTask): void {
    const tracked = this.parts.jobs.get(job.id);
    if (!tracked) return;
    if (job.isComplete) this.finish(tracked, "completed", "all-tasks-done");
    else if (job.hasReachedAttemptLimit(task)) {
      this.finish(tracked, "failed", `attempts-spent:${task.id}`);
    } else if (job.hasReachedCrashLimit(task)) {
      this.finish(tracked, "failed", `crashed-its-workers:${task.id}`);
    }
  }

  finish(tracked: TrackedJob, state: JobStateName, reason: string): void {
    const { options, jobs, progressRecorder, waits } = this.parts;
    const { clock, logger, metrics } = options;
    const { job } = tracked;
    job.end(state, clock.now());
    jobs.active.delete(tracked);
    metrics.count("job_ends", { state });
    const { waitedMs, overtakenBy, lastTaskMs } = waits.waitsOf(
      job,
      clock.monotonic(),
    );
    logger.info("job.ended", {
      job: job.id,
      state,
      reason,
      ageMs: Math.round(clock.now() - job.accepted.acceptedAt),
      waitedMs: Math.round(waitedMs),
      overtakenBy,
      lastTaskMs: Math.round(lastTaskMs),
    });
    this.stopRuns(job, `job-${state}`);
    progressRecorder.recordJob(job);
  }

  private stopRuns(job: JobRun, reason: string): void {
    const { hosts, runStarter, runStopper } = this.parts;
    for (const { tasks } of job.steps) {
      for (const { host, run } of hosts.placedRunsOf(tasks)) {
        if (run.phase === "unsent") runStarter.withdraw(host, run, reason);
        else runStopper.stop(host, run, reason);
      }
    }
  }
}
