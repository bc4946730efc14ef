/**
 * Work of refused jobs of one service and priority, in the order of their arrival. The
 * values are in arrays of numbers, so that the sum over 10,000 jobs takes some ten
 * microseconds.
 */

import type { Monotonic } from "@rackspan/common";

export class ArrivalOrder {
  /** Ascending. */
  private readonly arrivals: number[] = [];
  private readonly works: number[] = [];
  private readonly awaitedUntil: number[] = [];

  /**
   * @param arrival position in the order of arrival of all jobs
   * @param work core-milliseconds
   */
  set(arrival: number, work: number, awaitedUntil: Monotonic): void {
    const at = this.indexOf(arrival);
    const replaced = this.arrivals[at] === arrival ? 1 : 0;
    this.arrivals.splice(at, replaced, arrival);
    this.works.splice(at, replaced, work);
    this.awaitedUntil.splice(at, replaced, awaitedUntil);
  }

  remove(arrival: number): void {
    const at = this.indexOf(arrival);
    if (this.arrivals[at] !== arrival) return;
    this.arrivals.splice(at, 1);
    this.works.splice(at, 1);
    this.awaitedUntil.splice(at, 1);
  }

  /** Core-milliseconds of the jobs that arrived before and may still return. */
  workBefore(arrival: number, now: Monotonic): number {
    const { works, awaitedUntil } = this;
    const end = this.indexOf(arrival);
    let total = 0;
    for (let at = 0; at < end; at += 1)
      if ((awaitedUntil[at] as number) >= now) total += works[at] as number;
    return total;
  }

  /** Index of the first job that did not arrive before. */
  private indexOf(arrival: number): number {
    let low = 0;
    let high = this.arrivals.length;
    // New jobs arrive last.
    if ((this.arrivals[high - 1] ?? -Infinity) < arrival) return high;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((this.arrivals[middle] as number) < arrival) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
