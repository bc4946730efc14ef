/**
 * The order in which steps get their turn at the permit service: the step that has waited
 * longest is first. Urgent queues have a head start, which a longer wait outweighs, so
 * that no step waits for good.
 */

import type { Clock, Monotonic } from "@rackspan/common";
import type { StepRun } from "@rackspan/jobs";

/** Wait that equals one level of priority, milliseconds. */
const PRIORITY_LEVEL_MS = 10_000;

export class PermitTurns {
  private readonly waitingSince = new Map<StepRun, Monotonic>();

  constructor(private readonly clock: Clock) {}

  /** Adds a step at the end, unless it waits already. */
  add(step: StepRun): void {
    if (this.waitingSince.has(step)) return;
    this.waitingSince.set(step, this.clock.monotonic());
  }

  /** Lets a step that had its turn wait anew, if it still waits. */
  moveToEnd(step: StepRun): void {
    if (this.waitingSince.delete(step)) this.add(step);
  }

  /** Removes all steps but those that still wait. */
  retain(waiting: ReadonlySet<StepRun>): void {
    for (const step of this.waitingSince.keys())
      if (!waiting.has(step)) this.waitingSince.delete(step);
  }

  /** Returns the one of the steps whose turn is first. */
  first(steps: Iterable<StepRun>): StepRun | undefined {
    let first: StepRun | undefined;
    let firstKey = Infinity;
    for (const step of steps) {
      const key = this.orderKeyOf(step);
      if (key >= firstKey) continue;
      first = step;
      firstKey = key;
    }
    return first;
  }

  /** How long the step has waited since its last turn, milliseconds. */
  waitedMs(step: StepRun): number {
    const now = this.clock.monotonic();
    return now - (this.waitingSince.get(step) ?? now);
  }

  private orderKeyOf(step: StepRun): number {
    const since = this.waitingSince.get(step) ?? this.clock.monotonic();
    return since + step.job.terms.priority * PRIORITY_LEVEL_MS;
  }
}
