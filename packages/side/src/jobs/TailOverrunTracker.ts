/** Follows for how long the tails of serving tasks have been over their targets. */

import type { JobTaskId, Monotonic } from "@rackspan/common";
import type { ServingTail } from "./paceFactors.js";

export class TailOverrunTracker {
  /** Since when each serving task's tail has been over its target. */
  private readonly since = new Map<JobTaskId, Monotonic>();

  /** @returns the longest time of any tail over its target on end, milliseconds */
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

  /** Drops what is known of tasks that run no more. */
  retainOnly(tasks: ReadonlySet<JobTaskId>): void {
    for (const task of this.since.keys()) {
      if (!tasks.has(task)) this.since.delete(task);
    }
  }
}
