/**
 * Refused jobs whose callers may return, in the order in which they first arrived.
 * Memory of one entry only: at another entry, or after a restart, a returning job counts
 * as new.
 */

import type { Monotonic, ServiceName } from "@rackspan/common";
import { BoundedMap, type JobId } from "@rackspan/state";

const RETURNS = {
  /** Maximum number of ids; about 2 MB. */
  maxIds: 10_000,
  /** Time from its first arrival for which an id is remembered, milliseconds. */
  retentionMs: 60_000,
  /**
   * A caller that has not returned this long after its time no longer counts as
   * preceding work, milliseconds. It covers the rounding of Retry-After to seconds.
   */
  returnGraceMs: 2_000,
} as const;

export interface RefusedJob {
  readonly id: JobId;
  readonly service: ServiceName;
  readonly priority: number;
  /** Core-milliseconds. */
  readonly work: number;
}

interface RememberedJob extends RefusedJob {
  readonly firstArrivedAt: Monotonic;
  readonly returnAt: Monotonic;
}

export class ReturnQueue {
  private readonly jobs = new BoundedMap<JobId, RememberedJob>(RETURNS.maxIds);

  get size(): number {
    return this.jobs.size;
  }

  /** When the job first arrived; undefined for a new one. */
  firstArrivalOf(id: JobId, now: Monotonic): Monotonic | undefined {
    const known = this.jobs.get(id);
    return known && isRemembered(known, now) ? known.firstArrivedAt : undefined;
  }

  /**
   * Core-milliseconds of the jobs of the service and priority that may return before
   * this one: those that arrived earlier. All of them precede a new job.
   */
  workBefore({ id, service, priority }: RefusedJob, now: Monotonic): number {
    const arrivedAt = this.firstArrivalOf(id, now) ?? now;
    let work = 0;
    for (const [, job] of this.jobs) {
      if (job.id === id || !isAwaited(job, now)) continue;
      if (job.service !== service || job.priority !== priority) continue;
      if (job.firstArrivedAt <= arrivedAt) work += job.work;
    }
    return work;
  }

  /** @param returnAt when the caller was told to return */
  add(job: RefusedJob, now: Monotonic, returnAt: Monotonic): void {
    this.removeExpired(now);
    const firstArrivedAt = this.firstArrivalOf(job.id, now) ?? now;
    const remembered = { ...job, firstArrivedAt, returnAt };
    if (firstArrivedAt < now) this.jobs.replace(job.id, remembered);
    else this.jobs.set(job.id, remembered);
  }

  /** Called when the job is accepted. */
  remove(id: JobId): void {
    this.jobs.delete(id);
  }

  /** The map is in the order of first arrival, so the oldest ids come first. */
  private removeExpired(now: Monotonic): void {
    for (const [id, job] of this.jobs) {
      if (isRemembered(job, now)) return;
      this.jobs.delete(id);
    }
  }
}

const isRemembered = (
  { firstArrivedAt }: RememberedJob,
  now: Monotonic,
): boolean => now - firstArrivedAt <= RETURNS.retentionMs;

const isAwaited = (job: RememberedJob, now: Monotonic): boolean =>
  isRemembered(job, now) && now <= job.returnAt + RETURNS.returnGraceMs;
