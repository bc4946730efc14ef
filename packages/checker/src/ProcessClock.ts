/** One process's clock: it can be paused, and ends with its process. */

import type { Clock, Instant, Monotonic, Timer } from "@rackspan/common";

export class ProcessClock implements Clock {
  private paused = false;
  private dead = false;
  private readonly late = new Set<() => void>();

  constructor(private readonly base: Clock) {}

  now(): Instant {
    return this.base.now();
  }

  monotonic(): Monotonic {
    return this.base.monotonic();
  }

  after(ms: number, callback: () => void): Timer {
    const fire = (): void => {
      if (this.dead) return;
      if (this.paused) this.late.add(fire);
      else callback();
    };
    const timer = this.base.after(ms, fire);
    return {
      cancel: () => {
        timer.cancel();
        this.late.delete(fire);
      },
    };
  }

  /** Resolves once the process runs; never for a dead one. */
  running(): Promise<void> {
    if (!this.paused && !this.dead) return Promise.resolve();
    return new Promise((resolve) => this.late.add(resolve));
  }

  get isDead(): boolean {
    return this.dead;
  }

  pause(): void {
    this.paused = true;
  }

  resume(): void {
    this.paused = false;
    const late = [...this.late];
    this.late.clear();
    if (this.dead) return;
    for (const callback of late) callback();
  }

  kill(): void {
    this.dead = true;
    this.late.clear();
  }
}
