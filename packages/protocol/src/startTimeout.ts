/**
 * A time-out for what a peer should do. Timers run before sockets are read, so after
 * a standstill of this process one is due while the answer may lie in the socket: the
 * time for which the process stood still is given again.
 */

import type { Clock, Timer } from "@rackspan/common";

/** Timers are late by as much in a process that does not stand still. */
const MIN_SUSPENSION_MS = 2;

/** Waits at most twice `timeoutMs`, and longer only while the process stands still. */
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
