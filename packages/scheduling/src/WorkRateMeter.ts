/**
 * Measures the work done lately, by service and priority. Running tasks count by their
 * progress: if work counted only when tasks end, tasks that run longer than the window
 * would give rates of 0 with peaks between them.
 */

import type { Monotonic, ServiceName } from "@rackspan/common";
import type { ServiceLoad } from "@rackspan/state";

const RATE = {
  /**
   * Time over which work is averaged, milliseconds. Bulk tasks take 2.0 to 2.4 s, so it
   * covers the fluctuation within the run of one task.
   */
  windowMs: 4_000,
} as const;

interface Sample {
  readonly at: Monotonic;
  /** Core-milliseconds of tasks that are done, and of running ones by their progress. */
  readonly work: number;
}

interface Measurement {
  /** Core-milliseconds of all tasks that are done. */
  doneWork: number;
  /** The first one is the newest that is at least as old as the window, if there is any. */
  readonly samples: Sample[];
  /** Since when tasks have found no host; undefined while they do. */
  saturatedSince: Monotonic | undefined;
}

export interface LoadSample {
  /** Core-milliseconds that running tasks have done so far. */
  readonly runningWork: number;
  /** Whether tasks of this priority find no host now. */
  readonly isSaturated: boolean;
}

export class WorkRateMeter {
  private readonly measurements = new Map<string, Measurement>();

  /** @param work core-milliseconds of a task that is done */
  recordDone(service: ServiceName, priority: number, work: number): void {
    this.measurementOf(service, priority).doneWork += work;
  }

  /** Called once for each summary. */
  recordSample(
    service: ServiceName,
    priority: number,
    { runningWork, isSaturated }: LoadSample,
    now: Monotonic,
  ): void {
    const measurement = this.measurementOf(service, priority);
    const { samples, doneWork } = measurement;
    samples.push({ at: now, work: doneWork + runningWork });
    while (samples[1] && now - samples[1].at >= RATE.windowMs) samples.shift();
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
    const { samples, saturatedSince } = this.measurementOf(service, priority);
    const isSaturated = now - (saturatedSince ?? now) >= RATE.windowMs;
    return { ratePerMs: rateOf(samples), isSaturated };
  }

  /**
   * Drops the measurements of all other priorities. Nothing of them is pending, so they
   * are not saturated, and their next rate is measured anew.
   */
  retain(services: readonly ServiceLoad[]): void {
    const listed = new Set(
      services.flatMap(({ service, priorities }) =>
        priorities.map(({ priority }) => keyOf(service, priority)),
      ),
    );
    for (const key of this.measurements.keys())
      if (!listed.has(key)) this.measurements.delete(key);
  }

  private measurementOf(service: ServiceName, priority: number): Measurement {
    const key = keyOf(service, priority);
    let measurement = this.measurements.get(key);
    if (!measurement) {
      measurement = { doneWork: 0, samples: [], saturatedSince: undefined };
      this.measurements.set(key, measurement);
    }
    return measurement;
  }
}

const keyOf = (service: ServiceName, priority: number): string =>
  `${priority}@${service}`;

const rateOf = (samples: readonly Sample[]): number => {
  const [first] = samples;
  const last = samples.at(-1);
  if (!first || !last || last.at <= first.at) return 0;
  // Progress that stopped runs have lost may outweigh what was done.
  return Math.max(0, last.work - first.work) / (last.at - first.at);
};
