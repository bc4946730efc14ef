/** Persists the progress of jobs in the store; several changes of a job become one record. */

import type { Clock } from "@rackspan/common";
import { encodeProgress, type TopicWriter } from "@rackspan/state";
import type { JobRun } from "./JobRun.js";

export interface ProgressJournalOptions {
  readonly writer: TopicWriter;
  readonly clock: Clock;
  /** Time for which changes are batched to save appends, milliseconds. */
  readonly batchWindowMs: number;
}

interface Batch {
  readonly jobs: Set<JobRun>;
  readonly persisted: Promise<void>;
}

export class ProgressJournal {
  private next: Batch | undefined;
  /** The last write of each job that is not confirmed yet. */
  private readonly unpersisted = new Map<JobRun, Promise<void>>();

  constructor(private readonly options: ProgressJournalOptions) {}

  /**
   * Resolves once the job's current progress, or newer progress, is persisted.
   * Rejects when another leader has taken over.
   */
  persist(job: JobRun): Promise<void> {
    this.next ??= this.openBatch();
    this.next.jobs.add(job);
    this.trackWrite(job, this.next.persisted);
    return this.next.persisted;
  }

  /**
   * Resolves once all earlier writes for the job are persisted; writes nothing itself.
   * Rejects when another leader has taken over before that.
   */
  flushed(job: JobRun): Promise<void> {
    return this.unpersisted.get(job) ?? Promise.resolve();
  }

  private trackWrite(job: JobRun, persisted: Promise<void>): void {
    if (this.unpersisted.get(job) === persisted) return;
    this.unpersisted.set(job, persisted);
    const untrack = (): void => {
      if (this.unpersisted.get(job) === persisted) this.unpersisted.delete(job);
    };
    // A refused write stays in the map, as it will never be persisted.
    persisted.then(untrack, () => undefined);
  }

  private openBatch(): Batch {
    const jobs = new Set<JobRun>();
    const { clock, batchWindowMs } = this.options;
    const persisted = new Promise<void>((resolve, reject) => {
      clock.after(batchWindowMs, () => {
        this.next = undefined;
        this.write(jobs).then(resolve, reject);
      });
    });
    return { jobs, persisted };
  }

  private async write(jobs: ReadonlySet<JobRun>): Promise<void> {
    const { writer } = this.options;
    const writes = [...jobs].map((job) => {
      const value = encodeProgress(job.toRecord());
      return writer.write({ key: job.id, value }).persisted;
    });
    await Promise.all(writes);
  }
}
