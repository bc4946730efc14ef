/** What an entry expects of a job before it is accepted, from its declaration. */

import { MILLI_CORES_PER_CORE } from "@rackspan/common";
import type { JobSpec, JobTerms, QueueLoad } from "@rackspan/state";
import {
  densityBucketOf,
  LATE_UTILITY,
  MIN_WORK,
  utilityOf,
} from "./jobUtility.js";

export interface FirstStep {
  /** Demand of one task. */
  readonly milliCores: number;
  /** Whether its tasks use only processor time that other tasks leave idle. */
  readonly filling: boolean;
}

export interface JobEstimate {
  /** Core-milliseconds of all tasks. */
  readonly work: number;
  /** Duration of the longest chain of steps, milliseconds. */
  readonly chainMs: number;
  /** Time within which the job should end, milliseconds. */
  readonly objectiveMs: number;
  /** Bucket while the job can end in time; see densityBucketOf. */
  readonly bucket: number;
  /** Bucket once it can only end late. */
  readonly lateBucket: number;
  /** The steps that may start at once. */
  readonly firstSteps: readonly FirstStep[];
}

/**
 * @param load of the job's queue. Declared run times are off by half and more, so they
 *   are corrected by the ratio that the leader has seen; without it they count as given.
 */
export const estimateJob = (
  { steps }: JobSpec,
  { stretch, targetLatencyMs }: JobTerms,
  load: QueueLoad | undefined,
): JobEstimate => {
  const ratio = load?.runTimeRatio ?? 1;
  const ends: number[] = [];
  let work = 0;
  for (const { after, taskCount, demand, estimateMs } of steps) {
    const taskMs = Math.max(1, estimateMs) * ratio;
    const startsAt = Math.max(0, ...after.map((step) => ends[step] ?? 0));
    ends.push(startsAt + taskMs);
    work += (taskCount * taskMs * demand.milliCores) / MILLI_CORES_PER_CORE;
  }
  const chainMs = Math.max(0, ...ends);
  const density =
    utilityOf(work, load?.meanWork ?? work) / Math.max(MIN_WORK, work);
  const firstSteps = steps
    .filter(({ after }) => after.length === 0)
    .map(({ demand: { milliCores }, filling }) => ({ milliCores, filling }));
  return {
    work,
    chainMs,
    objectiveMs: stretch * chainMs + targetLatencyMs,
    bucket: densityBucketOf(density),
    lateBucket: densityBucketOf(LATE_UTILITY * density),
    firstSteps,
  };
};
