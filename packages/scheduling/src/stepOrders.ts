/** The plug-in point for the order of work, and what all orders share. */

import { Registry, type Instant } from "@rackspan/common";
import type { JobRun, StepRun } from "@rackspan/jobs";
import type { RuntimeEstimator } from "./RuntimeEstimator.js";

/** A step with tasks to start, and what its place in the order may rest on. */
export interface Candidate {
  readonly job: JobRun;
  readonly step: StepRun;
  /** Nothing of the job has run for a while. */
  readonly isStarved: boolean;
}

export interface StepOrder {
  /** The first of the returned steps is served first. */
  sort(candidates: readonly Candidate[], now: Instant): readonly Candidate[];
}

export interface StepOrderOptions {
  readonly estimates: RuntimeEstimator;
}

export const stepOrders = new Registry<StepOrderOptions, StepOrder>(
  "order of work",
);

/** Sorts by a list of keys, the first difference decides; lower comes first. */
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
