/** The plug-in point for the order of work, and helpers for all orders. */

import { Registry, type Instant } from "@rackspan/common";
import type { JobRun, StepRun } from "@rackspan/jobs";
import type { JobId } from "@rackspan/state";
import type { CompletionRate } from "./CompletionRate.js";
import type { RuntimeEstimator } from "./RuntimeEstimator.js";

/** A step with tasks to start, and the inputs for its position in the order. */
export interface Candidate {
  readonly job: JobRun;
  readonly step: StepRun;
  /** Whether nothing of the job has run for a while. */
  readonly isStarved: boolean;
}

/** The bulk work of one priority as of the last scheduling cycle. */
export interface BulkBacklog {
  readonly priority: number;
  /** Number of unended jobs of which a task has started. */
  readonly begunJobs: number;
  /** Jobs with a step of which no task could start yet, next one first. */
  readonly waitingJobs: readonly JobId[];
  /** Core-milliseconds of all tasks to start. */
  readonly work: number;
  /** Core-milliseconds done per millisecond; undefined while unknown. */
  readonly rate: number | undefined;
  /** What decides the order. */
  readonly rule: "slack" | "utility" | "started-first";
}

export interface StepOrder {
  /** Returns the candidates in the order in which they are placed. */
  sort(candidates: readonly Candidate[], now: Instant): readonly Candidate[];

  /** Only orders that measure bulk work have it. */
  bulkBacklogs?(): readonly BulkBacklog[];
}

export interface StepOrderOptions {
  readonly estimates: RuntimeEstimator;
  /** Undefined where nothing measures it; orders then assume no bound. */
  readonly completionRate?: CompletionRate;
}

export const stepOrders = new Registry<StepOrderOptions, StepOrder>(
  "order of work",
);

/** Sorts by a list of keys in ascending order. The first key that differs decides. */
export const sortByKeys = (
  candidates: readonly Candidate[],
  keysOf: (candidate: Candidate) => readonly number[],
): readonly Candidate[] =>
  candidates
    .map((candidate) => ({ candidate, keys: keysOf(candidate) }))
    .sort((a, b) => compareKeys(a.keys, b.keys))
    .map(({ candidate }) => candidate);

const compareKeys = (a: readonly number[], b: readonly number[]): number => {
  for (let at = 0; at < a.length; at += 1) {
    const difference = (a[at] as number) - (b[at] as number);
    if (difference !== 0) return difference;
  }
  return 0;
};
