/** Utility of a job to its caller, and the order that follows from it. */

/**
 * Utility of a job, in units of a job of its queue with the mean work (users' pages,
 * "Credit").
 */
const UTILITY = {
  /** Part that does not depend on the work. */
  fixed: 0.3,
  /** Part that is proportional to the work, for a job with the mean work. */
  proportional: 0.7,
  max: 4,
} as const;

/** Minimum estimate of work, core-milliseconds. */
export const MIN_WORK = 1;

/** Utility of a job that ends after its objective, relative to one that ends in time. */
export const LATE_UTILITY = 0.15;

/** A job that ends later than this many times its objective has no utility. */
export const TOO_LATE_FACTOR = 3;

/**
 * Buckets per doubling of the density. Two keep a bucket's error below that of the
 * estimates of work, and a summary of all pending work below some hundred bytes.
 */
const BUCKETS_PER_DOUBLING = 2;

/** Bucket of jobs without any utility left. */
export const WORTHLESS_BUCKET = -1_000;

/**
 * @param work of the job, core-milliseconds
 * @param meanWork of the jobs of its queue, core-milliseconds
 */
export const utilityOf = (work: number, meanWork: number): number => {
  const { fixed, proportional, max } = UTILITY;
  const size = work / Math.max(MIN_WORK, meanWork);
  return Math.min(max, fixed + proportional * size);
};

/** @param density utility per core-millisecond */
export const densityBucketOf = (density: number): number =>
  density > 0
    ? Math.max(
        WORTHLESS_BUCKET,
        Math.floor(BUCKETS_PER_DOUBLING * Math.log2(density)),
      )
    : WORTHLESS_BUCKET;
