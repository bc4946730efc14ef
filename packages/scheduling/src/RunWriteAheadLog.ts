/**
 * Tells the store of a run before it is ordered, where workers have crashed under
 * its task. Starts are not written down else, so a leader that ends with the crash
 * would leave no trace of it, and the next one would start the task as often again.
 * Only suspected tasks wait for the store: one append of about 10 ms.
 */

import { describeError, type Logger, type RunNumber } from "@rackspan/common";
import { crashLogOf, type JobTask, type ProgressJournal } from "@rackspan/jobs";

export interface RunWriteAheadLogOptions {
  readonly journal: ProgressJournal;
  readonly logger: Logger;
  readonly nextRunNumber: () => RunNumber;
  /** Called when the store keeps an announcement: its task may be started. */
  readonly onRecorded: () => void;
  /** Judges what former leaders left of the task; its job may have ended then. */
  readonly resolvePreviousRun: (task: JobTask) => void;
}

interface Announcement {
  readonly run: RunNumber;
  isKept: boolean;
}

export class RunWriteAheadLog {
  /** Announced by this leader, and not ordered yet. */
  private readonly open = new Map<JobTask, Announcement>();

  constructor(private readonly options: RunWriteAheadLogOptions) {}

  /** Whether workers crashed under the task so often that its next run is announced. */
  needsRecord(task: JobTask): boolean {
    return task.writeAheadRun !== undefined || crashLogOf(task).isSuspect;
  }

  /**
   * The run that the tasks may be started with now.
   * @param tasks one task, or all of a gang that wait
   * @returns undefined while the store does not keep it; a pass is asked for then
   */
  recordedRunFor(tasks: readonly JobTask[]): RunNumber | undefined {
    if (!tasks.some((task) => this.needsRecord(task))) {
      return this.options.nextRunNumber();
    }
    const [first] = tasks;
    const announcement = first && this.open.get(first);
    const isShared = tasks.every(
      (task) => this.open.get(task)?.run === announcement?.run,
    );
    if (!announcement || !isShared) {
      this.announce(tasks);
      return undefined;
    }
    return announcement.isKept ? announcement.run : undefined;
  }

  /** The run is being ordered: the task's next one needs an announcement of its own. */
  markOrdered(task: JobTask): void {
    this.open.delete(task);
  }

  private announce(tasks: readonly JobTask[]): void {
    const {
      journal,
      nextRunNumber: nextRun,
      resolvePreviousRun: settleFormer,
    } = this.options;
    for (const task of tasks) if (!this.open.has(task)) settleFormer(task);
    if (tasks.some(({ step }) => step.job.isEnded)) return;
    this.forgetEnded();
    const announcement = { run: nextRun(), isKept: false };
    const jobs = new Set(tasks.map(({ step }) => step.job));
    for (const task of tasks) {
      task.writeAheadRun = announcement.run;
      this.open.set(task, announcement);
    }
    Promise.all([...jobs].map((job) => journal.persist(job))).then(
      () => this.noteKept(announcement),
      (err: unknown) => this.noteNotKept(tasks, err),
    );
  }

  /** Their jobs were cancelled, or given up, before they were ordered. */
  private forgetEnded(): void {
    for (const task of this.open.keys()) {
      if (task.step.job.isEnded) this.open.delete(task);
    }
  }

  private noteKept(announcement: Announcement): void {
    announcement.isKept = true;
    this.options.onRecorded();
  }

  /** Another leader has taken over: this one starts nothing more. */
  private noteNotKept(tasks: readonly JobTask[], err: unknown): void {
    this.options.logger.warn("task.not-announced", {
      task: tasks[0]?.id,
      error: describeError(err),
    });
  }
}
