/** The clock as an interface, so that tests control the time. */

import { AbortedError } from "./errors.js";
import { SuspensionAwareClock } from "./SuspensionAwareClock.js";

/** Milliseconds since the Unix epoch; for display and records, not for measuring durations. */
export type Instant = number;
/** Milliseconds on a clock that never goes back; only differences are meaningful. */
export type Monotonic = number;

export interface Timer {
  cancel(): void;
}

export interface Clock {
  now(): Instant;
  monotonic(): Monotonic;
  /**
   * Like `monotonic`, but also counts the time for which the machine was suspended. It
   * may run ahead when the time of day is set. So it may be used to decide how long this
   * process may use its own lease, but never to decide that the lease of another process
   * has expired.
   */
  leaseTime(): Monotonic;
  /** Calls `callback` once after `ms`. */
  after(ms: number, callback: () => void): Timer;
}

export interface SystemClockOptions {
  /** Whether a pending timer keeps the process alive; servers stay alive by their sockets. */
  readonly keepsProcessAlive: boolean;
}

export class SystemClock implements Clock {
  constructor(
    private readonly options: SystemClockOptions = { keepsProcessAlive: false },
  ) {}

  private readonly leaseClock = new SuspensionAwareClock(
    () => performance.now(),
    () => Date.now(),
  );

  now(): Instant {
    return Date.now();
  }

  monotonic(): Monotonic {
    return performance.now();
  }

  leaseTime(): Monotonic {
    return this.leaseClock.read();
  }

  after(ms: number, callback: () => void): Timer {
    const handle = setTimeout(callback, Math.max(0, ms));
    if (!this.options.keepsProcessAlive) handle.unref();
    return { cancel: () => clearTimeout(handle) };
  }
}

/**
 * Waits for `ms` on the given clock.
 * @throws AbortedError if the signal ends the wait
 */
export const sleep = (
  clock: Clock,
  ms: number,
  signal?: AbortSignal,
): Promise<void> =>
  new Promise((resolve, reject) => {
    if (signal?.aborted) {
      reject(new AbortedError());
      return;
    }
    const onAbort = (): void => {
      timer.cancel();
      reject(new AbortedError());
    };
    const timer = clock.after(ms, () => {
      signal?.removeEventListener("abort", onAbort);
      resolve();
    });
    signal?.addEventListener("abort", onAbort, { once: true });
  });

/** Like `sleep`, but resolves if the signal ends the wait. */
export const pause = (
  clock: Clock,
  ms: number,
  signal: AbortSignal,
): Promise<void> => sleep(clock, ms, signal).catch(() => undefined);
