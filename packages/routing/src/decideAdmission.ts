/**
 * Decides whether a job can still be of use to its caller if it is accepted now. It
 * responds to the pending work of the job's service: all work of more urgent
 * priorities, and work of the same priority with more utility per core-millisecond.
 * Less urgent work never counts.
 */

import type { ServiceName } from "@rackspan/common";
import type { LoadSummary, PriorityLoad } from "@rackspan/state";
import type { JobEstimate } from "./jobEstimate.js";
import { TOO_LATE_FACTOR } from "./jobUtility.js";

/**
 * Share of the work in the job's own bucket that precedes it: the position within the
 * bucket is not known.
 */
const OWN_BUCKET_SHARE = 0.5;

/** Work that was accepted after the summary was written. */
export interface AddedWork {
  readonly service: ServiceName;
  readonly priority: number;
  readonly bucket: number;
  /** Core-milliseconds. */
  readonly work: number;
}

export interface AdmissionInputs {
  readonly service: ServiceName;
  readonly priority: number;
  readonly estimate: JobEstimate;
  /** Time since the job first arrived; its caller's time counts from then. */
  readonly waitedMs: number;
  /** Undefined if none of the current leader is known. */
  readonly summary: LoadSummary | undefined;
  readonly summaryAgeMs: number;
  /** An older summary refuses nothing, milliseconds. */
  readonly maxSummaryAgeMs: number;
  readonly added: readonly AddedWork[];
  /**
   * Core-milliseconds of refused jobs that may return before this one. Called only if
   * the summary says that capacity is lacking.
   */
  readonly returningWork: () => number;
}

export type AdmissionReason =
  | "no-summary"
  | "old-summary"
  | "unknown-load"
  | "free-hosts"
  | "no-rate"
  | "in-time"
  | "hopeless";

/** Inputs of the decision as they are logged. */
export interface ExpectedEnd {
  /** Milliseconds until the work that precedes the job is done. */
  readonly waitMs: number;
  /** Latest useful end, milliseconds after the first arrival. */
  readonly limitMs: number;
  /** Core-milliseconds done per millisecond. */
  readonly ratePerMs: number;
}

export interface AdmissionDecision {
  readonly outcome: "accept" | "refuse";
  readonly reason: AdmissionReason;
  readonly expected?: ExpectedEnd;
  /** For a refusal: until enough of the preceding work has been done, milliseconds. */
  readonly drainMs?: number;
}

const accept = (
  reason: AdmissionReason,
  expected?: ExpectedEnd,
): AdmissionDecision => ({ outcome: "accept", reason, expected });

export const decideAdmission = (inputs: AdmissionInputs): AdmissionDecision => {
  const { service, priority, estimate, summary, summaryAgeMs } = inputs;
  if (!summary) return accept("no-summary");
  if (summaryAgeMs > inputs.maxSummaryAgeMs) return accept("old-summary");
  const load = summary.services.find((each) => each.service === service);
  const own = load?.priorities.find((each) => each.priority === priority);
  if (!load || !own) return accept("unknown-load");
  if (hasCapacity(own, estimate)) return accept("free-hosts");
  // The rate of more urgent work alone does not show what this priority gets done.
  if (!own.isSaturated || own.ratePerMs <= 0) return accept("no-rate");
  const preceding = load.priorities.filter((each) => each.priority <= priority);
  // A lower bound of the wait: more urgent jobs that are still to arrive do not count.
  const ratePerMs = preceding.reduce((sum, each) => sum + each.ratePerMs, 0);
  const returningWork = inputs.returningWork();
  const waitOf = (bucket: number): number => {
    const work = precedingWork(inputs, preceding, bucket);
    const total = work + returningWork;
    return Math.max(0, total / ratePerMs - summaryAgeMs);
  };
  const limitMs = TOO_LATE_FACTOR * estimate.objectiveMs;
  const inTimeWaitMs = waitOf(estimate.bucket);
  const ownMs = inputs.waitedMs + estimate.chainMs;
  const isInTime = inTimeWaitMs + ownMs <= estimate.objectiveMs;
  // A job that is late has less utility left, so more work precedes it.
  const waitMs = isInTime ? inTimeWaitMs : waitOf(estimate.lateBucket);
  const expected = { waitMs, limitMs, ratePerMs };
  const excessMs = waitMs + ownMs - limitMs;
  if (excessMs <= 0) return accept("in-time", expected);
  const reason = "hopeless";
  return { outcome: "refuse", reason, expected, drainMs: excessMs };
};

/** Whether a host can hold a task of any of the job's first steps. */
const hasCapacity = (
  load: PriorityLoad,
  { firstSteps }: JobEstimate,
): boolean =>
  firstSteps.some(({ milliCores, filling }) => {
    const { largestMilliCores } = filling ? load.filling : load.plain;
    return largestMilliCores > 0 && largestMilliCores >= milliCores;
  });

/** Core-milliseconds that are done before the job starts. */
const precedingWork = (
  { service, priority, added }: AdmissionInputs,
  loads: readonly PriorityLoad[],
  ownBucket: number,
): number => {
  const shareOf = (workPriority: number, bucket: number): number => {
    if (workPriority < priority || bucket > ownBucket) return 1;
    return bucket === ownBucket ? OWN_BUCKET_SHARE : 0;
  };
  let total = 0;
  for (const load of loads) {
    for (const [bucket, work] of load.pending)
      total += work * shareOf(load.priority, bucket);
  }
  for (const each of added) {
    if (each.service !== service || each.priority > priority) continue;
    total += each.work * shareOf(each.priority, each.bucket);
  }
  return total;
};
