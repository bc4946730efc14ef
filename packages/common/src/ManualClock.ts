/** A clock that advances only by method calls; for tests and decision benchmarks. */

import type { Clock, Instant, Monotonic, Timer } from "./clock.js";

interface PendingTimer {
  readonly at: Monotonic;
  readonly order: number;
  readonly callback: () => void;
}

export class ManualClock implements Clock {
  private time: Monotonic = 0;
  private suspendedMs = 0;
  private order = 0;
  private readonly timers = new Set<PendingTimer>();

  constructor(private readonly epoch: Instant = 1_700_000_000_000) {}

  now(): Instant {
    return this.epoch + this.leaseTime();
  }

  monotonic(): Monotonic {
    return this.time;
  }

  leaseTime(): Monotonic {
    return this.time + this.suspendedMs;
  }

  after(ms: number, callback: () => void): Timer {
    const timer = {
      at: this.time + Math.max(0, ms),
      order: this.order++,
      callback,
    };
    this.timers.add(timer);
    return { cancel: () => void this.timers.delete(timer) };
  }

  /** Runs all timers due within `ms` in order, and lets promises settle in between. */
  async advance(ms: number): Promise<void> {
    const end = this.time + ms;
    await settle();
    for (let next = this.nextDue(end); next; next = this.nextDue(end)) {
      this.timers.delete(next);
      this.time = Math.max(this.time, next.at);
      next.callback();
      await settle();
    }
    this.time = end;
  }

  /** Simulates a stalled process: time passes, but timers run only at the next advance. */
  freeze(ms: number): void {
    this.time += ms;
  }

  /**
   * Simulates a suspended machine: only `now` and `leaseTime` advance, while `monotonic`
   * and timers stop.
   */
  suspend(ms: number): void {
    this.suspendedMs += ms;
  }

  private nextDue(end: Monotonic): PendingTimer | undefined {
    let first: PendingTimer | undefined;
    for (const timer of this.timers) {
      if (timer.at > end) continue;
      if (!first || timer.at < first.at) first = timer;
      else if (timer.at === first.at && timer.order < first.order)
        first = timer;
    }
    return first;
  }
}

/** Lets pending microtasks and immediates run. */
const settle = async (): Promise<void> => {
  for (let turn = 0; turn < 4; turn += 1) {
    await new Promise<void>((resolve) => setImmediate(resolve));
  }
};
