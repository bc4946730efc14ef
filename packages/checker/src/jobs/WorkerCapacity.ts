/** The capacity of a modelled worker, which may change while the worker runs. */

import type { Clock, Monotonic } from "@rackspan/common";

const CAPACITY = {
  /** How long starts may still use the previous capacity after it shrank, milliseconds. */
  shrinkGraceMs: 3_500,
} as const;

export class WorkerCapacity {
  /** Current capacity in thousandths of a core. */
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

  /** Capacity that starts may use; a reduced capacity takes effect with a delay. */
  get allowed(): number {
    const { milliCores, until } = this.previous;
    const isRecent = this.clock.monotonic() < until;
    return Math.max(this.current, isRecent ? milliCores : 0);
  }
}
