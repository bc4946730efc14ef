/** The room of a modelled worker, which may change while it runs. */

import type { Clock, Monotonic } from "@rackspan/common";

const CAPACITY = {
  /** Starts may fill a room that has shrunk this long after, milliseconds. */
  shrinkGraceMs: 3_500,
} as const;

export class WorkerCapacity {
  /** Thousandths of a core. */
  private current: number;
  private previous: {
    readonly milliCores: number;
    readonly until: Monotonic;
  } = { milliCores: 0, until: -Infinity };

  constructor(
    private readonly clock: Clock,
    milliCores: number,
  ) {
    this.current = milliCores;
  }

  get milliCores(): number {
    return this.current;
  }

  change(milliCores: number): void {
    const until = this.clock.monotonic() + CAPACITY.shrinkGraceMs;
    this.previous = { milliCores: this.allowed, until };
    this.current = milliCores;
  }

  /** What starts may fill: the news of a room that has shrunk takes its time. */
  get allowed(): number {
    const { milliCores, until } = this.previous;
    const isRecent = this.clock.monotonic() < until;
    return Math.max(this.current, isRecent ? milliCores : 0);
  }
}
