/**
 * Keeps large jobs served when there is too much work: an order by utility per work starts
 * small jobs first, so that under lasting overload large jobs wait until they are of no
 * use. Jobs are divided into classes by size. While too few jobs of a class are started in
 * time, compared with all jobs, some of its jobs are chosen, and go before the others until
 * they have ended.
 */

import type { JobRun } from "@rackspan/jobs";

const SIZE_CLASSES = {
  /**
   * Lower bounds of the classes, in multiples of the mean size of the queue's jobs. The
   * smallest class is never behind.
   */
  bounds: [0, 1.75, 2.5],
  /**
   * Least share of a class's jobs that are started, relative to that of all jobs. Users
   * require that the largest tenth is served half as often as all, and some of the jobs
   * that are started still end too late.
   */
  minRelativeShare: 0.6,
  /** Number of outcomes of a class that are remembered. */
  maxRemembered: 64,
  /** Number of outcomes that have to be known before any job is chosen. */
  minOutcomes: 16,
} as const;

/** Whether each of the last jobs of a class was started while it could be in time. */
type Outcomes = boolean[];

export class SizeClassShares {
  private readonly sizeClasses = new WeakMap<JobRun, number>();
  private readonly outcomes: Outcomes[] = SIZE_CLASSES.bounds.map(() => []);
  private readonly chosen = new WeakSet<JobRun>();

  isChosen(job: JobRun): boolean {
    return this.chosen.has(job);
  }

  /** @param size of the job, in multiples of the mean size of its queue's jobs */
  recordArrival(job: JobRun, size: number): void {
    const sizeClass = SIZE_CLASSES.bounds.findLastIndex((min) => size >= min);
    this.sizeClasses.set(job, sizeClass);
  }

  /**
   * Called once the first steps of the job are placed, or it can no longer be in time.
   * @param isStarted whether they are placed
   */
  recordOutcome(job: JobRun, isStarted: boolean): void {
    const sizeClass = this.sizeClasses.get(job);
    if (sizeClass === undefined) return;
    this.sizeClasses.delete(job);
    const ofClass = this.outcomes[sizeClass] ?? [];
    ofClass.push(isStarted);
    if (ofClass.length > SIZE_CLASSES.maxRemembered) ofClass.shift();
  }

  /**
   * Chooses jobs of the classes that are behind, the last accepted ones first: they have
   * the most time left.
   * @param waiting jobs that have not been started and can end within their objectives
   */
  choose(waiting: readonly JobRun[]): void {
    const all = this.outcomes.flat();
    if (all.length < SIZE_CLASSES.minOutcomes) return;
    const newestFirst = [...waiting].sort(
      (a, b) => b.accepted.acceptedAt - a.accepted.acceptedAt,
    );
    for (const job of newestFirst) {
      const ofClass = this.outcomes[this.sizeClasses.get(job) ?? -1] ?? [];
      const { minRelativeShare } = SIZE_CLASSES;
      if (shareOf(ofClass) >= minRelativeShare * shareOf(all)) continue;
      this.chosen.add(job);
      this.recordOutcome(job, true);
    }
  }
}

/** Returns the share of the jobs that were started; 1 if there are none. */
const shareOf = (outcomes: Outcomes): number =>
  outcomes.length === 0 ? 1 : outcomes.filter(Boolean).length / outcomes.length;
