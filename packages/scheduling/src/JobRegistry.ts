/** All jobs of the leader, and those that may have tasks to start. */

import type { JobTaskId } from "@rackspan/common";
import type { JobRun, JobTask } from "@rackspan/jobs";
import { parseTaskId, type JobId } from "@rackspan/state";
import type { TrackedJob } from "./engineTypes.js";

export class JobRegistry {
  /**
   * Jobs that may have tasks to start. A scheduling cycle removes those that have none.
   */
  readonly active = new Set<TrackedJob>();
  private readonly entries = new Map<JobId, TrackedJob>();

  get(id: JobId): TrackedJob | undefined {
    return this.entries.get(id);
  }

  /** Returns all jobs, including ended ones that are still retained. */
  *all(): Iterable<JobRun> {
    for (const { job } of this.entries.values()) yield job;
  }

  add(tracked: TrackedJob): void {
    this.entries.set(tracked.job.id, tracked);
    if (!tracked.job.isEnded) this.active.add(tracked);
  }

  delete(id: JobId): void {
    const tracked = this.entries.get(id);
    if (!tracked) return;
    this.entries.delete(id);
    this.active.delete(tracked);
  }

  /** @returns whether the job may have tasks to start now */
  activate(job: JobRun): boolean {
    const tracked = this.entries.get(job.id);
    if (!tracked || job.isEnded) return false;
    this.active.add(tracked);
    return true;
  }

  findTask(id: JobTaskId): JobTask | undefined {
    const position = parseTaskId(id);
    const tracked = position && this.entries.get(position.job);
    if (!tracked) return undefined;
    const { occurrence, step, index } = position;
    return tracked.job.task(occurrence, step, index);
  }

  /** Returns the jobs that have not ended. */
  unended(): JobRun[] {
    return [...this.entries.values()].flatMap(({ job }) =>
      job.isEnded ? [] : [job],
    );
  }

  /** Returns the jobs that ended before the given wall-clock time. */
  endedBefore(time: number): JobId[] {
    const ended: JobId[] = [];
    for (const { job } of this.entries.values()) {
      if (job.isEnded && job.endedAt < time) ended.push(job.id);
    }
    return ended;
  }
}
