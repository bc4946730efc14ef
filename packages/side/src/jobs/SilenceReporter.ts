/**
 * Tells the leader of one connection until when the silent worker may run anything, so
 * that a leader which has not heard of it need not count the longest lease from the
 * beginning of its own term.
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
  /** A worker that has not been seen for this long since the side attached is silent, milliseconds. */
  unseenMs: 500,
  /** Least time between two calls to the leader, milliseconds. */
  tellEveryMs: 500,
} as const;

/** A call to a leader about a silent worker, and its outcome. */
interface SilenceTold {
  /** Absent when the side cannot tell when the worker's lease is over. */
  readonly overInMs: number | undefined;
  readonly grants?: boolean;
  /** Why there is no answer. */
  readonly error?: string;
}

export interface SilenceReporterOptions {
  readonly connection: LeaderConnection;
  /** When the side attached over the connection. */
  readonly attachedAt: Monotonic;
  readonly registry: WorkerRegistry;
  readonly poller: WorkerPoller;
  readonly clock: Clock;
  readonly logger: Logger;
  /** For how long an answer is waited for, milliseconds. */
  readonly callTimeoutMs: number;
}

export class SilenceReporter {
  private toldAt: Monotonic = -Infinity;
  /** The outcome of the call that was logged last. */
  private loggedOutcome: string | undefined;

  constructor(private readonly options: SilenceReporterOptions) {}

  /** @param sighting the newest since the side attached */
  isDue(sighting: WorkerStatus | undefined): boolean {
    const { poller: watch, clock, attachedAt } = this.options;
    const now = clock.monotonic();
    const mayComeYet = sighting || now - attachedAt < SILENCE.unseenMs;
    if (watch.isResponding && mayComeYet) return false;
    return now - this.toldAt >= SILENCE.tellEveryMs;
  }

  /** @returns whether the leader answered, and whether it grants leases */
  async report(): Promise<{ isAnswered: boolean; grants: boolean }> {
    const {
      connection,
      registry,
      poller: watch,
      clock,
      callTimeoutMs,
    } = this.options;
    const overInMs = watch.stopRenewingLease();
    const neverBegun = [...registry.runs.unreportedNeverBegun];
    this.toldAt = clock.monotonic();
    try {
      const { grants } = await connection.call(
        "workerSilent",
        { overInMs, neverBegun },
        callTimeoutMs,
      );
      // One that decides nothing any more hands nothing on.
      if (grants) registry.runs.markNeverBegunReported(neverBegun);
      this.logOutcome({ overInMs, grants });
      return { isAnswered: true, grants };
    } catch (err) {
      this.logOutcome({ overInMs, error: describeError(err) });
      // A leader of an earlier version refuses a method that it does not know.
      const isAnswered = !(err instanceof LostAnswerError);
      return { isAnswered, grants: false };
    }
  }

  /** Once a connection, and when what came of it changes. */
  private logOutcome({ overInMs, grants, error }: SilenceTold): void {
    const { poller: watch, registry, logger } = this.options;
    const outcome = error ?? `grants ${grants}`;
    if (outcome === this.loggedOutcome) return;
    this.loggedOutcome = outcome;
    const instance = registry.worker?.instance ?? registry.lastGone;
    const epoch = watch.currentEpoch;
    const fields = { epoch, instance, overInMs, grants, error };
    logger.info("worker.silence-told", fields);
  }
}
