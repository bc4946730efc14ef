/**
 * Refused jobs whose callers may return, in the order in which they first arrived.
 * Memory of one entry only: at another entry, or after a restart, a returning job counts
 * as new.
 */

import type { Monotonic, ServiceName } from "@rackspan/common";
import { BoundedMap, type JobId } from "@rackspan/state";
import { ArrivalOrder } from "./ArrivalOrder.js";

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
  /** Position in the order of arrival; jobs may arrive within one millisecond. */
  readonly arrival: number;
}

export class ReturnQueue {
  private readonly jobs = new BoundedMap<JobId, RememberedJob>(RETURNS.maxIds);
  /** By service and priority. */
  private readonly orders = new Map<string, ArrivalOrder>();
  private nextArrival = 1;

  get size(): number {
    return this.jobs.size;
  }

  /** When the job first arrived; undefined for a new one. */
  firstArrivalOf(id: JobId, now: Monotonic): Monotonic | undefined {
    return this.rememberedJob(id, now)?.firstArrivedAt;
  }

  /**
   * Core-milliseconds of the jobs of the service and priority that may return before
   * this one: those that arrived earlier. All of them precede a new job.
   */
  workBefore(job: RefusedJob, now: Monotonic): number {
    const arrival = this.rememberedJob(job.id, now)?.arrival ?? Infinity;
    return this.orders.get(keyOf(job))?.workBefore(arrival, now) ?? 0;
  }

  /** @param returnAt when the caller is to return */
  add(job: RefusedJob, now: Monotonic, returnAt: Monotonic): void {
    this.removeExpired(now);
    const known = this.jobs.get(job.id);
    if (known) this.orders.get(keyOf(known))?.remove(known.arrival);
    const remembered = {
      ...job,
      firstArrivedAt: known?.firstArrivedAt ?? now,
      arrival: known?.arrival ?? this.nextArrival++,
    };
    const { arrival, firstArrivedAt, work } = remembered;
    const awaitedUntil = Math.min(
      returnAt + RETURNS.returnGraceMs,
      firstArrivedAt + RETURNS.retentionMs,
    );
    this.orderOf(job).set(arrival, work, awaitedUntil);
    if (known) this.jobs.replace(job.id, remembered);
    else {
      const dropped = this.jobs.set(job.id, remembered);
      if (dropped)
        this.orders.get(keyOf(dropped[1]))?.remove(dropped[1].arrival);
    }
  }

  /** Called when the job is accepted. */
  remove(id: JobId): void {
    const job = this.jobs.get(id);
    if (!job) return;
    this.jobs.delete(id);
    this.orders.get(keyOf(job))?.remove(job.arrival);
  }

  private rememberedJob(id: JobId, now: Monotonic): RememberedJob | undefined {
    const job = this.jobs.get(id);
    return job && isRemembered(job, now) ? job : undefined;
  }

  private orderOf(job: RefusedJob): ArrivalOrder {
    const key = keyOf(job);
    let order = this.orders.get(key);
    if (!order) this.orders.set(key, (order = new ArrivalOrder()));
    return order;
  }

  /** The map is in the order of first arrival, so the oldest ids come first. */
  private removeExpired(now: Monotonic): void {
    for (const [id, job] of this.jobs) {
      if (isRemembered(job, now)) return;
      this.remove(id);
    }
  }
}

const keyOf = ({ service, priority }: RefusedJob): string =>
  `${priority}@${service}`;

const isRemembered = (
  { firstArrivedAt }: RememberedJob,
  now: Monotonic,
): boolean => now - firstArrivedAt <= RETURNS.retentionMs;
