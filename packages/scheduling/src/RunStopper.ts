/**
 * Orders hosts to stop runs, until the worker has confirmed the stop or the run is
 * gone.
 */

import { describeError } from "@rackspan/common";
import {
  isStopDue,
  createStopOrder,
  runRefOf,
  type ActiveRun,
  type StopOrder,
} from "@rackspan/jobs";
import type { RunRef } from "@rackspan/ports";
import { ENGINE, type EngineOptions, type HostEntry } from "./engineTypes.js";

export class RunStopper {
  constructor(private readonly options: EngineOptions) {}

  /**
   * Orders a stop. The resources of the run stay allocated until the worker lists its
   * end.
   */
  stop(host: HostEntry, run: ActiveRun, reason: string): void {
    if (run.stop) return;
    run.phase = "stopping";
    run.stop = createStopOrder(reason);
    this.options.metrics.count("task_stops", { reason });
    void this.orderStop(host, runRefOf(run), run.stop);
  }

  /**
   * Repeats stop orders that have not arrived, or that the worker has not carried out.
   */
  orderDueStops(host: HostEntry): void {
    const { clock, stopMs } = this.options;
    const now = clock.monotonic();
    const times = { answerMs: ENGINE.orderTimeoutMs, stopMs };
    for (const run of host.hostState.stopping) {
      if (isStopDue(run, now, times)) {
        void this.orderStop(host, run.ref, run.stop);
      }
    }
  }

  /** Sends the order. Without a session the stop stays due. */
  private async orderStop(
    { hostState, session }: HostEntry,
    ref: RunRef,
    stop: StopOrder,
  ): Promise<void> {
    const { clock, epoch, logger } = this.options;
    if (!session) return;
    const { host, instance } = hostState;
    const { reason } = stop;
    const sentAt = clock.monotonic();
    stop.sentAt = sentAt;
    try {
      const { task, run } = ref;
      const result = await session.stopTask({ instance, epoch, task, run });
      if (result.kind === "ok") stop.confirmedAt = result.at;
      const { kind } = result;
      logger.info("task.stop", { ...ref, host, reason, result: kind });
    } catch (err) {
      const error = describeError(err);
      logger.warn("task.stop-unanswered", { ...ref, host, reason, error });
    }
    // A later order may have been sent in the meantime, over another connection.
    if (stop.sentAt === sentAt) stop.sentAt = undefined;
  }
}
