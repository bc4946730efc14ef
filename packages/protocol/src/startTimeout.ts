/**
 * A time-out for the response of a peer. Node runs timers before it reads sockets,
 * so after a suspension of this process a timer may fire although the response is
 * already in the socket. The time-out is therefore extended by the time for which
 * the process was suspended.
 */

import type { Clock, Timer } from "@rackspan/common";

/**
 * Smallest delay, in milliseconds, that counts as a suspension; timers of a running
 * process can be late by less than this.
 */
const MIN_SUSPENSION_MS = 2;

/** Waits at most twice `timeoutMs`, plus the time for which the process is suspended. */
export const startTimeout = (
  clock: Clock,
  timeoutMs: number,
  onTimeout: () => void,
): Timer => {
  let timer: Timer | undefined;
  let extensionLeftMs = timeoutMs;
  const wait = (ms: number): void => {
    const dueAt = clock.monotonic() + ms;
    timer = clock.after(ms, () => {
      const lateMs = Math.min(clock.monotonic() - dueAt, extensionLeftMs);
      if (lateMs < MIN_SUSPENSION_MS) {
        onTimeout();
        return;
      }
      extensionLeftMs -= lateMs;
      wait(lateMs);
    });
  };
  wait(timeoutMs);
  return { cancel: () => timer?.cancel() };
};
