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

  add(live: TrackedJob): void {
    this.entries.set(live.job.id, live);
    if (!live.job.isEnded) this.active.add(live);
  }

  delete(id: JobId): void {
    const live = this.entries.get(id);
    if (!live) return;
    this.entries.delete(id);
    this.active.delete(live);
  }

  /** @returns whether the job may have tasks to start now */
  activate(job: JobRun): boolean {
    const live = this.entries.get(job.id);
    if (!live || job.isEnded) return false;
    this.active.add(live);
    return true;
  }

  findTask(id: JobTaskId): JobTask | undefined {
    const position = parseTaskId(id);
    const live = position && this.entries.get(position.job);
    if (!live) return undefined;
    const { occurrence, step, index } = position;
    return live.job.task(occurrence, step, index);
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
