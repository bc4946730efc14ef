/** Persists changed jobs, and acknowledges ends to workers only afterwards. */

import { describeError, type Logger } from "@rackspan/common";
import type { JobRun, ProgressJournal } from "@rackspan/jobs";
import { StoreRefusedError } from "@rackspan/ports";
import type { HostEntry } from "./engineTypes.js";

export interface ProgressRecorderOptions {
  readonly journal: ProgressJournal;
  readonly logger: Logger;
}

export class ProgressRecorder {
  private hasLoggedFailure = false;

  constructor(private readonly options: ProgressRecorderOptions) {}

  recordJob(job: JobRun): void {
    this.options.journal
      .persist(job)
      .catch((err: unknown) => this.logFailure(err));
  }

  /**
   * Acknowledges the processed ends of the host once the jobs are persisted.
   *
   * @param ended the jobs whose ends were listed
   * @param changed those of them whose progress has changed and must be persisted
   */
  recordEnds(
    entry: HostEntry,
    ended: ReadonlySet<JobRun>,
    changed: ReadonlySet<JobRun>,
  ): void {
    const { journal } = this.options;
    const { hostState } = entry;
    const { instance, processedEnds } = hostState;
    // An end without changes still waits until earlier changes of its job are
    // persisted: the same end may have been processed before, through an entry of the
    // host that was removed.
    const writes = [...ended].map((job) =>
      this.untilPersisted(
        job,
        changed.has(job) ? journal.persist(job) : journal.flushed(job),
      ),
    );
    entry.endsRecorded = Promise.all([entry.endsRecorded, ...writes]).then(
      () => {
        if (hostState.instance !== instance) return;
        hostState.acknowledgedEnds = Math.max(
          hostState.acknowledgedEnds,
          processedEnds,
        );
        entry.session?.acknowledge(instance, hostState.acknowledgedEnds);
      },
    );
    entry.endsRecorded.catch((err: unknown) => this.logFailure(err));
  }

  /** Resolves once the write, or its repetition after a failure, is persisted. */
  private async untilPersisted(
    job: JobRun,
    write: Promise<void>,
  ): Promise<void> {
    const { journal } = this.options;
    for (let current = write; ; current = journal.flushed(job)) {
      try {
        await current;
        return;
      } catch (err) {
        if (!(err instanceof StoreRefusedError) || journal.isClosed) throw err;
        this.logFailure(err);
      }
    }
  }

  private logFailure(err: unknown): void {
    if (this.hasLoggedFailure) return;
    this.hasLoggedFailure = true;
    this.options.logger.warn("journal.lost", { error: describeError(err) });
  }
}
