/**
 * Adds to a steady clock the time for which the machine was suspended. The steady
 * clock stands still then, and the time of day goes on, so a leap of the one ahead
 * of the other is taken for a suspension. It may also be the time of day that was
 * set: then this reading runs ahead. It falls behind only by a suspension during
 * which the time of day was set back.
 */

import type { Monotonic } from "./clock.js";

/**
 * A smaller leap between two readings is taken for clocks that are steered,
 * milliseconds: those change by some 0.5 ms a second.
 */
const LEAST_LEAP_MS = 50;

export class SuspensionAwareClock {
  private steadyBefore: number;
  private wallBefore: number;
  private skippedMs = 0;

  /** @param wall the time of day; both in milliseconds */
  constructor(
    private readonly steady: () => number,
    private readonly wall: () => number,
  ) {
    this.steadyBefore = steady();
    this.wallBefore = wall();
  }

  /** Only differences mean anything; never steps back. */
  read(): Monotonic {
    const steady = this.steady();
    const wall = this.wall();
    const leapMs = wall - this.wallBefore - (steady - this.steadyBefore);
    if (leapMs >= LEAST_LEAP_MS) this.skippedMs += leapMs;
    this.steadyBefore = steady;
    this.wallBefore = wall;
    return steady + this.skippedMs;
  }
}
