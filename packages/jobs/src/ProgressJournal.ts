/** Persists the progress of jobs in the store; several changes of a job become one record. */

import type { Clock } from "@rackspan/common";
import { StoreRefusedError, type KeyedRecord } from "@rackspan/ports";
import {
  encodeProgress,
  type PendingWrite,
  type TopicWriter,
} from "@rackspan/state";
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
  readonly extraRecords: Map<string, KeyedRecord>;
  readonly persisted: Promise<void>;
  /** Writes the batch now, unless that was done before. */
  readonly close: () => void;
}

export class ProgressJournal {
  private next: Batch | undefined;
  /** Whether the next batch is written without the wait for further changes. */
  private closesSoon = false;
  /** The last write of each job that is not confirmed yet. */
  private readonly unpersisted = new Map<JobRun, Promise<void>>();

  constructor(private readonly options: ProgressJournalOptions) {}

  /** Whether nothing more can be persisted, as after a takeover by another leader. */
  get isClosed(): boolean {
    return this.options.writer.isClosed;
  }

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
   * The same without the wait for further changes: everything that is passed before the
   * next timers run is written in one append.
   */
  persistSoon(job: JobRun): Promise<void> {
    const persisted = this.persist(job);
    const batch = this.next;
    if (batch && !this.closesSoon) {
      this.closesSoon = true;
      this.options.clock.after(0, batch.close);
    }
    return persisted;
  }

  /**
   * Resolves once all earlier writes for the job are persisted; writes nothing itself. A
   * refused write is repeated, so a later call waits for the repetition.
   * Rejects when another leader has taken over before that.
   */
  flushed(job: JobRun): Promise<void> {
    return this.unpersisted.get(job) ?? Promise.resolve();
  }

  /**
   * Writes a record that is no job's progress with the next batch. Nobody waits for it:
   * it is lost if it is refused or another leader has taken over.
   */
  writeAlong(record: KeyedRecord): void {
    this.next ??= this.openBatch();
    this.next.extraRecords.set(record.key, record);
    this.next.persisted.catch(() => undefined);
  }

  private trackWrite(job: JobRun, persisted: Promise<void>): void {
    if (this.unpersisted.get(job) === persisted) return;
    this.unpersisted.set(job, persisted);
    const untrack = (): void => {
      if (this.unpersisted.get(job) === persisted) this.unpersisted.delete(job);
    };
    persisted.then(untrack, (err: unknown) => {
      // Any other failed write stays in the map, as it will never be persisted.
      const isRefused = err instanceof StoreRefusedError && !this.isClosed;
      if (isRefused && this.unpersisted.get(job) === persisted)
        void this.persist(job);
    });
  }

  private openBatch(): Batch {
    const jobs = new Set<JobRun>();
    const extraRecords = new Map<string, KeyedRecord>();
    const { clock, batchWindowMs } = this.options;
    let close = (): void => undefined;
    const persisted = new Promise<void>((resolve, reject) => {
      let isClosed = false;
      close = () => {
        if (isClosed) return;
        isClosed = true;
        const isOneAppend = this.closesSoon;
        this.next = undefined;
        this.closesSoon = false;
        const writes = isOneAppend
          ? this.writeTogether(jobs, extraRecords)
          : this.write(jobs, extraRecords);
        writes.then(resolve, reject);
      };
      clock.after(batchWindowMs, close);
    });
    return { jobs, extraRecords, persisted, close };
  }

  private async write(
    jobs: ReadonlySet<JobRun>,
    extraRecords: ReadonlyMap<string, KeyedRecord>,
  ): Promise<void> {
    const { writer } = this.options;
    const records = recordsOf(jobs, extraRecords);
    const writes = records.map((record) => writer.write(record));
    await jobsPersisted(writes, jobs.size);
  }

  private async writeTogether(
    jobs: ReadonlySet<JobRun>,
    extraRecords: ReadonlyMap<string, KeyedRecord>,
  ): Promise<void> {
    const { writer } = this.options;
    const writes = writer.writeTogether(recordsOf(jobs, extraRecords));
    await jobsPersisted(writes, jobs.size);
  }
}

/**
 * Waits for the records of the jobs, which come first. A refused record that is no job's
 * progress says nothing about them.
 */
const jobsPersisted = async (
  writes: readonly PendingWrite[],
  jobCount: number,
): Promise<void> => {
  const persisted = writes.map((write) => write.persisted);
  for (const write of persisted.slice(jobCount)) write.catch(() => undefined);
  await Promise.all(persisted.slice(0, jobCount));
};

const recordsOf = (
  jobs: ReadonlySet<JobRun>,
  extraRecords: ReadonlyMap<string, KeyedRecord>,
): KeyedRecord[] => [
  ...[...jobs].map((job) => ({
    key: job.id,
    value: encodeProgress(job.toRecord()),
  })),
  ...extraRecords.values(),
];
