/** Tracks for how long the tail latencies of serving tasks have been over their targets. */

import type { JobTaskId, Monotonic } from "@rackspan/common";
import type { ServingTail } from "./paceFactors.js";

export class TailOverrunTracker {
  /** When each serving task's tail last rose above its target. */
  private readonly since = new Map<JobTaskId, Monotonic>();

  /** @returns the longest time that any tail has been over its target without a break, milliseconds */
  update(serving: readonly ServingTail[], now: Monotonic): number {
    let longestMs = 0;
    for (const { task, tail } of serving) {
      if (tail <= 1) {
        this.since.delete(task);
        continue;
      }
      const since = this.since.get(task) ?? now;
      this.since.set(task, since);
      longestMs = Math.max(longestMs, now - since);
    }
    return longestMs;
  }

  /** Drops tasks that no longer run. */
  retainOnly(tasks: ReadonlySet<JobTaskId>): void {
    for (const task of this.since.keys()) {
      if (!tasks.has(task)) this.since.delete(task);
    }
  }
}
