/**
 * Reports to the leader of one connection until when a silent worker may run anything.
 * Without this report, a leader to which the host has not reported yet would have to wait
 * for the longest lease, counted from the start of its own term.
 */

import {
  describeError,
  type Clock,
  type Logger,
  type Monotonic,
} from "@rackspan/common";
import { LostAnswerError } from "@rackspan/protocol";
import type { LeaderConnection } from "./LeaderConnection.js";
import type { WorkerRegistry } from "./WorkerRegistry.js";
import type { WorkerStatus, WorkerPoller } from "./WorkerPoller.js";

const SILENCE = {
  /** A worker without a status for this long after the side attached counts as silent, milliseconds. */
  unseenMs: 500,
  /** Least time between two calls to the leader, milliseconds. */
  reportIntervalMs: 500,
} as const;

/** A call to a leader about a silent worker, and its outcome. */
interface SilenceReport {
  /** Absent when the side does not know when the worker's lease is over. */
  readonly overInMs: number | undefined;
  readonly grants?: boolean;
  /** The error when there is no answer. */
  readonly error?: string;
}

export interface SilenceReporterOptions {
  readonly connection: LeaderConnection;
  /** When the side attached on this connection. */
  readonly attachedAt: Monotonic;
  readonly registry: WorkerRegistry;
  readonly poller: WorkerPoller;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Timeout of a call to the leader, milliseconds. */
  readonly callTimeoutMs: number;
}

export class SilenceReporter {
  private reportedAt: Monotonic = -Infinity;
  /** The outcome that was logged last. */
  private loggedOutcome: string | undefined;

  constructor(private readonly options: SilenceReporterOptions) {}

  /** @param status the newest status since the side attached */
  isDue(status: WorkerStatus | undefined): boolean {
    const { poller, clock, attachedAt } = this.options;
    const now = clock.monotonic();
    const mayStillArrive = status || now - attachedAt < SILENCE.unseenMs;
    if (poller.isResponding && mayStillArrive) return false;
    return now - this.reportedAt >= SILENCE.reportIntervalMs;
  }

  /** @returns whether the leader answered, and whether it grants leases */
  async report(): Promise<{ isAnswered: boolean; grants: boolean }> {
    const { connection, registry, poller, clock, callTimeoutMs } = this.options;
    const overInMs = poller.stopRenewingLease();
    const neverBegun = [...registry.runs.unreportedNeverBegun];
    this.reportedAt = clock.monotonic();
    try {
      const { grants } = await connection.call(
        "workerSilent",
        { overInMs, neverBegun },
        callTimeoutMs,
      );
      // A leader that grants no leases decides nothing and passes nothing on to the next leader.
      if (grants) registry.runs.markNeverBegunReported(neverBegun);
      this.logOutcome({ overInMs, grants });
      return { isAnswered: true, grants };
    } catch (err) {
      this.logOutcome({ overInMs, error: describeError(err) });
      // A leader of an earlier version rejects this method as unknown, which is an answer, too.
      const isAnswered = !(err instanceof LostAnswerError);
      return { isAnswered, grants: false };
    }
  }

  /** Logs the first outcome on a connection, and each change of it. */
  private logOutcome({ overInMs, grants, error }: SilenceReport): void {
    const { poller, registry, logger } = this.options;
    const outcome = error ?? `grants ${grants}`;
    if (outcome === this.loggedOutcome) return;
    this.loggedOutcome = outcome;
    const instance = registry.worker?.instance ?? registry.lastGone;
    const epoch = poller.currentEpoch;
    const fields = { epoch, instance, overInMs, grants, error };
    logger.info("worker.silence-told", fields);
  }
}
