/**
 * Persists a run before it is ordered if workers have crashed under its task. Other
 * starts are not persisted. Without the record, a leader that ends together with the
 * crashed worker would leave no trace of the run, and the next leader would start the
 * task as often again. Only suspect tasks wait for the store: one append of about 10
 * ms.
 */

import {
  describeError,
  type Clock,
  type Logger,
  type Monotonic,
  type RunNumber,
} from "@rackspan/common";
import { crashLogOf, type JobTask, type ProgressJournal } from "@rackspan/jobs";
import { ENGINE } from "./engineTypes.js";

export interface RunWriteAheadLogOptions {
  readonly journal: ProgressJournal;
  readonly logger: Logger;
  readonly clock: Clock;
  readonly nextRunNumber: () => RunNumber;
  /** Called when the store has recorded a run, so that its task may be started. */
  readonly onRecorded: () => void;
  /** Judges a write-ahead run of a previous leader; the task's job may end thereby. */
  readonly resolvePreviousRun: (task: JobTask) => void;
}

interface WriteAheadRecord {
  readonly run: RunNumber;
  isPersisted: boolean;
  /** When the run is recorded under another number; undefined unless its record failed. */
  retryAt: Monotonic | undefined;
}

export class RunWriteAheadLog {
  /** Runs that this leader has recorded and not ordered yet. */
  private readonly unordered = new Map<JobTask, WriteAheadRecord>();

  constructor(private readonly options: RunWriteAheadLogOptions) {}

  /** Whether enough workers crashed under the task that its next run must be recorded. */
  needsRecord(task: JobTask): boolean {
    return task.writeAheadRun !== undefined || crashLogOf(task).isSuspect;
  }

  /**
   * Returns the run number with which the tasks may be started now.
   * @param tasks one task, or all waiting tasks of a gang
   * @returns undefined until the store has recorded the run; `onRecorded` is called
   *   then
   */
  recordedRunFor(tasks: readonly JobTask[]): RunNumber | undefined {
    if (!tasks.some((task) => this.needsRecord(task))) {
      return this.options.nextRunNumber();
    }
    const [first] = tasks;
    const record = first && this.unordered.get(first);
    const isShared = tasks.every(
      (task) => this.unordered.get(task)?.run === record?.run,
    );
    if (!record || !isShared || this.mayRetry(record)) {
      this.persistRun(tasks);
      return undefined;
    }
    return record.isPersisted ? record.run : undefined;
  }

  private mayRetry({ retryAt }: WriteAheadRecord): boolean {
    return retryAt !== undefined && this.options.clock.monotonic() >= retryAt;
  }

  /**
   * Called when the run is being ordered: the task's next run needs a record of its
   * own.
   */
  markOrdered(task: JobTask): void {
    this.unordered.delete(task);
  }

  private persistRun(tasks: readonly JobTask[]): void {
    const { journal, nextRunNumber, resolvePreviousRun } = this.options;
    for (const task of tasks)
      if (!this.unordered.has(task)) resolvePreviousRun(task);
    if (tasks.some(({ step }) => step.job.isEnded)) return;
    this.removeEnded();
    const record: WriteAheadRecord = {
      run: nextRunNumber(),
      isPersisted: false,
      retryAt: undefined,
    };
    const jobs = new Set(tasks.map(({ step }) => step.job));
    for (const task of tasks) {
      task.writeAheadRun = record.run;
      // A recorded host would show the next leader that this run was ordered.
      task.placedOn = undefined;
      this.unordered.set(task, record);
    }
    Promise.all([...jobs].map((job) => journal.persist(job))).then(
      () => this.markPersisted(record),
      (err: unknown) => this.handleFailure(tasks, record, err),
    );
  }

  /**
   * Removes runs of jobs that were cancelled or failed before their runs were ordered.
   */
  private removeEnded(): void {
    for (const task of this.unordered.keys()) {
      if (task.step.job.isEnded) this.unordered.delete(task);
    }
  }

  private markPersisted(record: WriteAheadRecord): void {
    record.isPersisted = true;
    this.options.onRecorded();
  }

  /**
   * If another leader has taken over, this one starts nothing more. After any other
   * failure the run was not ordered, and the tasks get another record after a pause.
   */
  private handleFailure(
    tasks: readonly JobTask[],
    record: WriteAheadRecord,
    err: unknown,
  ): void {
    const { journal, logger, clock } = this.options;
    logger.warn("task.not-announced", {
      task: tasks[0]?.id,
      run: record.run,
      error: describeError(err),
    });
    if (journal.isClosed) return;
    record.retryAt = clock.monotonic() + ENGINE.unrecordedPauseMs;
  }
}
