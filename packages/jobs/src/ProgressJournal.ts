/** Persists the progress of jobs in the store; several changes of a job become one record. */

import type { Clock } from "@rackspan/common";
import type { KeyedRecord } from "@rackspan/ports";
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
  /** Records without a job, by key. */
  readonly enclosed: Map<string, KeyedRecord>;
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

  /**
   * Writes a record that is no job's progress with the next batch. Nobody waits for it:
   * it is lost if another leader has taken over.
   */
  enclose(record: KeyedRecord): void {
    this.next ??= this.openBatch();
    this.next.enclosed.set(record.key, record);
    this.next.persisted.catch(() => undefined);
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
    const enclosed = new Map<string, KeyedRecord>();
    const { clock, batchWindowMs } = this.options;
    const persisted = new Promise<void>((resolve, reject) => {
      clock.after(batchWindowMs, () => {
        this.next = undefined;
        this.write(jobs, enclosed).then(resolve, reject);
      });
    });
    return { jobs, enclosed, persisted };
  }

  private async write(
    jobs: ReadonlySet<JobRun>,
    enclosed: ReadonlyMap<string, KeyedRecord>,
  ): Promise<void> {
    const { writer } = this.options;
    const records = [...jobs].map((job): KeyedRecord => {
      const value = encodeProgress(job.toRecord());
      return { key: job.id, value };
    });
    records.push(...enclosed.values());
    const writes = records.map((record) => writer.write(record).persisted);
    await Promise.all(writes);
  }
}
