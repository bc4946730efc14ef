/** The clock of one process, which can be paused and stops at the end of the process. */

import type { Clock, Instant, Monotonic, Timer } from "@rackspan/common";

export class ProcessClock implements Clock {
  private paused = false;
  private isStarved = false;
  private dead = false;
  private suspendedMs = 0;
  private readonly overdue = new Set<() => void>();
  /** Handlers of messages that arrived while the process was paused, in order. */
  private queuedMessages: (() => void)[] = [];

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
      if (this.paused || this.isStarved) this.overdue.add(fire);
      else callback();
    };
    const timer = this.base.after(ms, fire);
    return {
      cancel: () => {
        timer.cancel();
        this.overdue.delete(fire);
      },
    };
  }

  /** Handles a message from outside now, or once the process resumes. */
  receive(handle: () => void): void {
    if (this.dead) return;
    if (this.paused) this.queuedMessages.push(handle);
    else handle();
  }

  /** Resolves once the process runs; never for a dead process. */
  running(): Promise<void> {
    if (!this.paused && !this.dead) return Promise.resolve();
    return new Promise((resolve) => this.overdue.add(resolve));
  }

  get isDead(): boolean {
    return this.dead;
  }

  /** Whether the process handles no messages or runs no timers. */
  get isStalled(): boolean {
    return this.paused || this.isStarved;
  }

  pause(): void {
    this.paused = true;
  }

  /** Suspends the machine of the process, which also stops its monotonic clock. */
  suspend(ms: number): void {
    if (this.paused || this.dead) return;
    this.paused = true;
    this.base.after(ms, () => {
      this.suspendedMs += ms;
      this.catchUp();
    });
  }

  /** Overloads the process: no timer runs until `catchUp`. */
  starve(): void {
    this.isStarved = true;
  }

  resume(): void {
    this.paused = false;
    const overdue = [...this.overdue];
    this.overdue.clear();
    if (this.dead) return;
    for (const callback of overdue) callback();
  }

  /** Resumes as real processes do: handles queued messages before overdue timers. */
  catchUp(): void {
    this.paused = false;
    this.isStarved = false;
    const { queuedMessages, overdue } = this;
    this.queuedMessages = [];
    for (const handle of queuedMessages) this.after(0, handle);
    for (const callback of [...overdue]) {
      // A timer that was cancelled meanwhile must not run.
      this.base.after(0, () => {
        if (overdue.delete(callback)) callback();
      });
    }
  }

  kill(): void {
    this.dead = true;
    this.overdue.clear();
    this.queuedMessages = [];
  }
}
