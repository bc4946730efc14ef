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
const MIN_JUMP_MS = 50;

export class SuspensionAwareClock {
  private lastSteady: number;
  private lastWall: number;
  private suspendedMs = 0;

  /**
   * @param steady reads the steady clock
   * @param wall reads the time of day; both in milliseconds
   */
  constructor(
    private readonly steady: () => number,
    private readonly wall: () => number,
  ) {
    this.lastSteady = steady();
    this.lastWall = wall();
  }

  /** Never goes back; only differences between readings are meaningful. */
  read(): Monotonic {
    const steady = this.steady();
    const wall = this.wall();
    const jumpMs = wall - this.lastWall - (steady - this.lastSteady);
    if (jumpMs >= MIN_JUMP_MS) this.suspendedMs += jumpMs;
    this.lastSteady = steady;
    this.lastWall = wall;
    return steady + this.suspendedMs;
  }
}
