/** Keeps what changed of jobs, and only then lets workers forget their ends. */

import { describeError, type Logger } from "@rackspan/common";
import type { JobRun, ProgressJournal } from "@rackspan/jobs";
import type { HostEntry } from "./engineTypes.js";

export interface ProgressKeeperOptions {
  readonly journal: ProgressJournal;
  readonly logger: Logger;
}

export class ProgressKeeper {
  private isLost = false;

  constructor(private readonly options: ProgressKeeperOptions) {}

  keepJob(job: JobRun): void {
    this.options.journal
      .record(job)
      .catch((err: unknown) => this.noteLost(err));
  }

  /** Acknowledges the ends noted of the host so far once the jobs are kept. */
  keepEnds(entry: HostEntry, changed: ReadonlySet<JobRun>): void {
    const { journal } = this.options;
    const { ledger } = entry;
    const { instance, notedEnds } = ledger;
    const writes = [...changed].map((job) => journal.record(job));
    // Ends that change nothing wait for earlier ones all the same.
    entry.keeping = Promise.all([entry.keeping, ...writes]).then(() => {
      if (ledger.instance !== instance) return;
      ledger.acknowledgedEnds = Math.max(ledger.acknowledgedEnds, notedEnds);
      entry.session?.acknowledge(instance, ledger.acknowledgedEnds);
    });
    entry.keeping.catch((err: unknown) => this.noteLost(err));
  }

  private noteLost(err: unknown): void {
    if (this.isLost) return;
    this.isLost = true;
    this.options.logger.warn("journal.lost", { error: describeError(err) });
  }
}
