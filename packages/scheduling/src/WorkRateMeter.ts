/** Measures the work done lately, by service and priority. */

import type { Monotonic, ServiceName } from "@rackspan/common";

const RATE = {
  /**
   * Time over which work is averaged, milliseconds. It contains several tasks in each
   * of many hosts' slots: bulk tasks take 2.0 to 2.4 s.
   */
  windowMs: 4_000,
  /** Work is summed over intervals of this length, milliseconds. */
  slotMs: 250,
} as const;

interface Slot {
  readonly startedAt: Monotonic;
  work: number;
}

interface Measurement {
  readonly slots: Slot[];
  /** Since when tasks have found no host; undefined while they do. */
  saturatedSince: Monotonic | undefined;
}

export class WorkRateMeter {
  private readonly measurements = new Map<string, Measurement>();

  /** @param work core-milliseconds of a task that is done */
  recordDone(
    service: ServiceName,
    priority: number,
    work: number,
    now: Monotonic,
  ): void {
    const { slots } = this.measurementOf(service, priority);
    removeOld(slots, now);
    const last = slots.at(-1);
    if (last && now - last.startedAt < RATE.slotMs) last.work += work;
    else slots.push({ startedAt: now, work });
  }

  /** @param isSaturated whether tasks of this priority find no host now */
  recordSaturation(
    service: ServiceName,
    priority: number,
    isSaturated: boolean,
    now: Monotonic,
  ): void {
    const measurement = this.measurementOf(service, priority);
    if (!isSaturated) measurement.saturatedSince = undefined;
    else measurement.saturatedSince ??= now;
  }

  /**
   * Returns the core-milliseconds done per millisecond, and whether tasks found no host
   * for the whole window in which they were done.
   */
  measure(
    service: ServiceName,
    priority: number,
    now: Monotonic,
  ): { readonly ratePerMs: number; readonly isSaturated: boolean } {
    const { slots, saturatedSince } = this.measurementOf(service, priority);
    removeOld(slots, now);
    const work = slots.reduce((sum, slot) => sum + slot.work, 0);
    const isSaturated = now - (saturatedSince ?? now) >= RATE.windowMs;
    return { ratePerMs: work / RATE.windowMs, isSaturated };
  }

  private measurementOf(service: ServiceName, priority: number): Measurement {
    const key = `${priority}@${service}`;
    let measurement = this.measurements.get(key);
    if (!measurement) {
      measurement = { slots: [], saturatedSince: undefined };
      this.measurements.set(key, measurement);
    }
    return measurement;
  }
}

const removeOld = (slots: Slot[], now: Monotonic): void => {
  while (slots[0] && now - slots[0].startedAt > RATE.windowMs) slots.shift();
};
