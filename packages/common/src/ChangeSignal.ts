/** Lets async tasks wait until a condition may have changed. */

import type { Clock } from "./clock.js";

export class ChangeSignal {
  private waiters = new Set<() => void>();

  notify(): void {
    const waiters = this.waiters;
    this.waiters = new Set();
    for (const wake of waiters) wake();
  }

  /** Resolves at the next `notify` or after `ms`, whichever is first. */
  wait(clock: Clock, ms: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        timer.cancel();
        this.waiters.delete(wake);
        resolve();
      };
      const timer = clock.after(ms, wake);
      this.waiters.add(wake);
    });
  }
}
