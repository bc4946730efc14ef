/**
 * A monotonic clock that also counts the time for which the machine was suspended. The
 * steady clock stops during a suspension while the time of day advances, so a jump of the
 * time of day relative to the steady clock counts as a suspension. If the time of day was
 * set forward instead, this clock runs ahead. It falls behind only if the time of day was
 * set back during a suspension.
 */

import type { Monotonic } from "./clock.js";

/**
 * Smaller jumps between two readings are attributed to clock slewing, milliseconds;
 * slewing changes the time of day by some 0.5 ms a second.
 */
const LEAST_LEAP_MS = 50;

export class SuspensionAwareClock {
  private steadyBefore: number;
  private wallBefore: number;
  private skippedMs = 0;

  /**
   * @param steady reads the steady clock
   * @param wall reads the time of day; both in milliseconds
   */
  constructor(
    private readonly steady: () => number,
    private readonly wall: () => number,
  ) {
    this.steadyBefore = steady();
    this.wallBefore = wall();
  }

  /** Never goes back; only differences between readings are meaningful. */
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
