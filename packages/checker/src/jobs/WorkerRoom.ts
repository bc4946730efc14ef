/** The room of a modelled worker, which may change while it runs. */

import type { Clock, Monotonic } from "@rackspan/common";

const ROOM = {
  /** Starts may fill a room that has shrunk this long after, milliseconds. */
  shrunkMs: 3_500,
} as const;

export class WorkerRoom {
  /** Thousandths of a core. */
  private now: number;
  private before: {
    readonly milliCores: number;
    readonly until: Monotonic;
  } = { milliCores: 0, until: -Infinity };

  constructor(
    private readonly clock: Clock,
    milliCores: number,
  ) {
    this.now = milliCores;
  }

  get milliCores(): number {
    return this.now;
  }

  change(milliCores: number): void {
    const until = this.clock.monotonic() + ROOM.shrunkMs;
    this.before = { milliCores: this.allowed, until };
    this.now = milliCores;
  }

  /** What starts may fill: the news of a room that has shrunk takes its time. */
  get allowed(): number {
    const { milliCores, until } = this.before;
    const isRecent = this.clock.monotonic() < until;
    return Math.max(this.now, isRecent ? milliCores : 0);
  }
}
