/**
 * Tracks a requested stop of a run. Only the worker's answer confirms that the stop has
 * arrived. A report that still lists the run shows only that the stop has not been
 * executed yet.
 */

import type { Monotonic, WorkerTime } from "@rackspan/common";
import type { RunRef } from "@rackspan/ports";

export interface StopOrder {
  /** Why the run is stopped, for logs. */
  readonly reason: string;
  /** When the order in flight was sent, on the leader's clock; undefined if none is in flight. */
  sentAt: Monotonic | undefined;
  /** Worker's clock when it last confirmed the stop; undefined before. The run cannot start after that. */
  confirmedAt: WorkerTime | undefined;
}

/** A run that is to stop. */
export interface StoppingRun {
  readonly ref: RunRef;
  readonly stop: StopOrder;
  /** Worker's clock when it last reported the run; undefined if it never has. */
  readonly lastSeenAt: WorkerTime | undefined;
}

export interface StopTimeouts {
  /** Timeout for the answer to an order, milliseconds. */
  readonly answerMs: number;
  /** Time that a worker may take to stop a run after confirming the order, milliseconds. */
  readonly stopMs: number;
}

export const createStopOrder = (reason: string): StopOrder => ({
  reason,
  sentAt: undefined,
  confirmedAt: undefined,
});

/**
 * Whether the stop must be ordered now. It is not repeated while an order is in flight,
 * and after the worker's confirmation only if the run exceeds its time to stop.
 */
export const isStopDue = (
  { stop, lastSeenAt }: StoppingRun,
  now: Monotonic,
  { answerMs, stopMs }: StopTimeouts,
): boolean => {
  const { sentAt, confirmedAt } = stop;
  if (sentAt !== undefined && now - sentAt < answerMs) return false;
  if (confirmedAt === undefined) return true;
  return lastSeenAt !== undefined && lastSeenAt > confirmedAt + stopMs;
};
