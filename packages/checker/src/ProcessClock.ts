/** One process's clock: it can be paused, and ends with its process. */

import type { Clock, Instant, Monotonic, Timer } from "@rackspan/common";

export class ProcessClock implements Clock {
  private paused = false;
  private isBusy = false;
  private dead = false;
  private suspendedMs = 0;
  private readonly late = new Set<() => void>();
  /** What came from outside while the process stood still, in order. */
  private arrived: (() => void)[] = [];

  constructor(private readonly base: Clock) {}

  now(): Instant {
    return this.base.now();
  }

  monotonic(): Monotonic {
    return this.base.monotonic() - this.suspendedMs;
  }

  leaseTime(): Monotonic {
    return this.base.leaseTime();
  }

  after(ms: number, callback: () => void): Timer {
    const fire = (): void => {
      if (this.dead) return;
      if (this.paused || this.isBusy) this.late.add(fire);
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

  /** Something comes from outside: it is taken now, or once the process goes on. */
  arrive(take: () => void): void {
    if (this.dead) return;
    if (this.paused) this.arrived.push(take);
    else take();
  }

  /** Resolves once the process runs; never for a dead one. */
  running(): Promise<void> {
    if (!this.paused && !this.dead) return Promise.resolve();
    return new Promise((resolve) => this.late.add(resolve));
  }

  get isDead(): boolean {
    return this.dead;
  }

  /** Whether its process takes nothing, or runs no timer. */
  get standsStill(): boolean {
    return this.paused || this.isBusy;
  }

  pause(): void {
    this.paused = true;
  }

  /** Its machine is suspended: its steady clock stands still as well. */
  suspend(ms: number): void {
    if (this.paused || this.dead) return;
    this.paused = true;
    this.base.after(ms, () => {
      this.suspendedMs += ms;
      this.catchUp();
    });
  }

  /** It has more to take than it can: until it catches up no timer runs. */
  starve(): void {
    this.isBusy = true;
  }

  resume(): void {
    this.paused = false;
    const late = [...this.late];
    this.late.clear();
    if (this.dead) return;
    for (const callback of late) callback();
  }

  /** Goes on as processes do: takes what has arrived, and only then its late timers. */
  catchUp(): void {
    this.paused = false;
    this.isBusy = false;
    const { arrived, late } = this;
    this.arrived = [];
    for (const take of arrived) this.after(0, take);
    for (const callback of [...late]) {
      // One that was cancelled meanwhile is late no more.
      this.base.after(0, () => {
        if (late.delete(callback)) callback();
      });
    }
  }

  kill(): void {
    this.dead = true;
    this.late.clear();
    this.arrived = [];
  }
}
