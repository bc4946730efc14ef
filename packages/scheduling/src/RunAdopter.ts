/** Takes over runs that a former leader started, and stops those nobody wants. */

import { describeError, type WorkerTime } from "@rackspan/common";
import {
  describeTask,
  type ActiveRun,
  type JobTask,
  type StrayRun,
} from "@rackspan/jobs";
import type { RunningTask } from "@rackspan/ports";
import { isFinal } from "@rackspan/state";
import type { EngineParts } from "./engineParts.js";
import type { HostEntry } from "./engineTypes.js";

export class RunAdopter {
  constructor(private readonly parts: EngineParts) {}

  /** @param rows runs that the host lists and its ledger does not know */
  adopt(entry: HostEntry, rows: readonly RunningTask[]): void {
    const { options, hosts, jobs } = this.parts;
    const adopted: JobTask[] = [];
    const strays: StrayRun[] = [];
    for (const row of rows) {
      const task = this.findWaitingTask(row);
      options.logger.info(task ? "task.adopted" : "task.stray", {
        task: row.task,
        run: row.run,
        host: entry.ledger.host,
      });
      if (!task) {
        strays.push({ run: row, task: jobs.findTask(row.task) });
        this.stopStray(entry, row);
        continue;
      }
      task.step.job.noteCheckpoint(task, row.checkpoint);
      hosts.place(entry, this.runOf(entry, task, row));
      adopted.push(task);
    }
    entry.ledger.replaceStrays(strays);
    if (adopted.length === 0) return;
    entry.session?.describe(adopted.map(describeTask));
  }

  private findWaitingTask(row: RunningTask): JobTask | undefined {
    const task = this.parts.jobs.findTask(row.task);
    if (task?.phase !== "waiting") return undefined;
    return isFinal(task.step.job.state) ? undefined : task;
  }

  private runOf(
    { ledger }: HostEntry,
    task: JobTask,
    { run, progressPercent, reading }: RunningTask,
  ): ActiveRun {
    const now = this.parts.options.clock.monotonic();
    return {
      task,
      run,
      phase: "running",
      startedAt: now,
      answeredAt: ledger.reportedAt,
      orderLapsesAt: ledger.reportedAt ?? (0 as unknown as WorkerTime),
      progressPercent,
      progressedAt: now,
      reading,
      crawlingSince: undefined,
      stopReason: undefined,
    };
  }

  private stopStray(entry: HostEntry, { task, run }: RunningTask): void {
    const { epoch, logger } = this.parts.options;
    const { instance } = entry.ledger;
    entry.session
      ?.stopTask({ instance, epoch, task, run })
      .catch((err: unknown) => {
        // The next report lists it again, and it is stopped again.
        logger.warn("task.stop-unanswered", {
          task,
          run,
          error: describeError(err),
        });
      });
  }
}
