/** Persists the progress of jobs in the store; several changes of a job become one record. */

import { sleep, type Clock, type Logger } from "@rackspan/common";
import {
  RecordRejectedError,
  StoreRefusedError,
  type KeyedRecord,
} from "@rackspan/ports";
import type { PendingWrite, TopicWriter } from "@rackspan/state";
import type { JobRun } from "./JobRun.js";

/** Pause before the progress of a job is written again whose records were rejected. */
const REJECTED_RETRY_MS = 1_000;

export interface ProgressJournalOptions {
  readonly writer: TopicWriter;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Time for which changes are batched to save appends, milliseconds. */
  readonly batchWindowMs: number;
}

/** The write of one job's progress in a batch. */
interface JobWrite {
  readonly persisted: Promise<void>;
  readonly resolve: () => void;
  readonly reject: (err: unknown) => void;
}

interface Batch {
  readonly jobs: Map<JobRun, JobWrite>;
  /** Records without a job, by key. */
  readonly extraRecords: Map<string, KeyedRecord>;
  /** Writes the batch now, unless that was done before. */
  readonly close: () => void;
}

export class ProgressJournal {
  private next: Batch | undefined;
  /** Whether the next batch is written without the wait for further changes. */
  private closesSoon = false;
  /** The last write of each job that is not confirmed yet. */
  private readonly unpersisted = new Map<JobRun, Promise<void>>();
  /** Repetitions of rejected writes that have not begun. */
  private readonly repetitions = new Map<JobRun, Promise<void>>();

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
    const { jobs } = this.next;
    const known = jobs.get(job);
    if (known) return known.persisted;
    const write = createJobWrite();
    jobs.set(job, write);
    this.trackWrite(job, write.persisted);
    return write.persisted;
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
   * refused or rejected write is repeated, so a later call waits for the repetition.
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
  }

  private trackWrite(job: JobRun, persisted: Promise<void>): void {
    this.unpersisted.set(job, persisted);
    const untrack = (): void => {
      if (this.unpersisted.get(job) === persisted) this.unpersisted.delete(job);
    };
    persisted.then(untrack, (err: unknown) => this.handleFailure(job, err));
  }

  /**
   * Repeats a write that was refused, or rejected: later progress of the job may be
   * accepted. Any other failed write stays in the map, as it will never be persisted.
   */
  private handleFailure(job: JobRun, err: unknown): void {
    job.markUnpersisted();
    if (this.isClosed) return;
    if (err instanceof RecordRejectedError) this.repeatLater(job);
    else if (err instanceof StoreRefusedError) void this.persist(job);
  }

  private repeatLater(job: JobRun): void {
    if (this.repetitions.has(job)) return;
    const { clock } = this.options;
    const repeated = sleep(clock, REJECTED_RETRY_MS).then(() => {
      this.repetitions.delete(job);
      return this.persist(job);
    });
    repeated.catch(() => undefined);
    this.repetitions.set(job, repeated);
    this.unpersisted.set(job, repeated);
  }

  private openBatch(): Batch {
    const jobs = new Map<JobRun, JobWrite>();
    const extraRecords = new Map<string, KeyedRecord>();
    let isClosed = false;
    const close = (): void => {
      if (isClosed) return;
      isClosed = true;
      const isOneAppend = this.closesSoon;
      this.next = undefined;
      this.closesSoon = false;
      this.write(jobs, extraRecords, isOneAppend);
    };
    this.options.clock.after(this.options.batchWindowMs, close);
    return { jobs, extraRecords, close };
  }

  private write(
    jobs: ReadonlyMap<JobRun, JobWrite>,
    extraRecords: ReadonlyMap<string, KeyedRecord>,
    isOneAppend: boolean,
  ): void {
    const { writer, logger } = this.options;
    const recordsByJob = [...jobs.keys()].map((job) =>
      job.takeRecords(writer.limits, logger),
    );
    const records = [...recordsByJob.flat(), ...extraRecords.values()];
    const writes = isOneAppend
      ? writer.writeTogether(records)
      : records.map((record) => writer.write(record));
    let next = 0;
    for (const [at, { resolve, reject }] of [...jobs.values()].entries()) {
      const count = recordsByJob[at]?.length ?? 0;
      allPersisted(writes.slice(next, next + count)).then(resolve, reject);
      next += count;
    }
    // A refused record that is no job's progress says nothing about the jobs.
    allPersisted(writes.slice(next)).catch(() => undefined);
  }
}

const createJobWrite = (): JobWrite => {
  let resolve: JobWrite["resolve"] = () => undefined;
  let reject: JobWrite["reject"] = () => undefined;
  const persisted = new Promise<void>((onPersisted, onFailed) => {
    resolve = onPersisted;
    reject = onFailed;
  });
  return { persisted, resolve, reject };
};

const allPersisted = async (writes: readonly PendingWrite[]): Promise<void> => {
  await Promise.all(writes.map(({ persisted }) => persisted));
};
