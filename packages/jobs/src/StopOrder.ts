/**
 * A stop that is wanted of a run, and how far it has come. Only the worker's own
 * answer ends it: that a report still lists the run says that the stop has not
 * been carried out, never that it has arrived.
 */

import type { Monotonic, WorkerTime } from "@rackspan/common";
import type { RunRef } from "@rackspan/ports";

export interface StopOrder {
  /** Why the run is to end, for logs. */
  readonly reason: string;
  /** When the order that is on its way was sent, on the leader's clock; undefined while none is. */
  sentAt: Monotonic | undefined;
  /** Worker's clock when it last confirmed the stop; undefined before. The run is barred from then on. */
  confirmedAt: WorkerTime | undefined;
}

/** A run that is to stop. */
export interface StoppingRun {
  readonly ref: RunRef;
  readonly stop: StopOrder;
  /** Worker's clock when it last showed the run; undefined when it never has. */
  readonly lastSeenAt: WorkerTime | undefined;
}

export interface StopTimeouts {
  /** Time for the answer to an order, milliseconds. */
  readonly answerMs: number;
  /** Time that a worker may take to stop a run, milliseconds. */
  readonly stopMs: number;
}

export const createStopOrder = (reason: string): StopOrder => ({
  reason,
  sentAt: undefined,
  confirmedAt: undefined,
});

/**
 * Whether the stop must be ordered now: not while an order is on its way, and
 * once the worker has confirmed it only if the run outlives its time to stop.
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
