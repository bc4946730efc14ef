/** The plug-in point for the order of work, and helpers for all orders. */

import { Registry, type Instant } from "@rackspan/common";
import type { JobRun, StepRun } from "@rackspan/jobs";
import type { RuntimeEstimator } from "./RuntimeEstimator.js";

/** A step with tasks to start, and the inputs for its position in the order. */
export interface Candidate {
  readonly job: JobRun;
  readonly step: StepRun;
  /** Whether nothing of the job has run for a while. */
  readonly isStarved: boolean;
}

export interface StepOrder {
  /** Returns the candidates in the order in which they are placed. */
  sort(candidates: readonly Candidate[], now: Instant): readonly Candidate[];
}

export interface StepOrderOptions {
  readonly estimates: RuntimeEstimator;
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
