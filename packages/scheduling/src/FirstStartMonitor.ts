/**
 * Records where the time between the submission of a job and its first start goes: until
 * this leader knows of the job, until a task is placed, until the placement is persisted,
 * and until a host answers the start order.
 */

import type { Monotonic } from "@rackspan/common";
import type { JobRun } from "@rackspan/jobs";
import type { EngineOptions } from "./engineTypes.js";

interface FirstStart {
  /** Time from the acceptance until this leader knew of the job, milliseconds. */
  readonly heardMs: number;
  readonly heardAt: Monotonic;
  /** Total pauses of the process when the job became known, milliseconds. */
  readonly pausedMs: number;
  placedAt: Monotonic | undefined;
  orderedAt: Monotonic | undefined;
}

export type FirstStartMonitorOptions = Pick<
  EngineOptions,
  "clock" | "logger" | "metrics" | "pauses"
>;

export class FirstStartMonitor {
  private readonly pending = new WeakMap<JobRun, FirstStart>();

  constructor(private readonly options: FirstStartMonitorOptions) {}

  /** Called when this leader learns of a job; one that was started before is ignored. */
  recordJob(job: JobRun): void {
    if (job.begun || job.isEnded) return;
    const { clock } = this.options;
    this.pending.set(job, {
      heardMs: clock.now() - job.dueAt(0),
      heardAt: clock.monotonic(),
      pausedMs: this.totalPausedMs(),
      placedAt: undefined,
      orderedAt: undefined,
    });
  }

  /** Called when a task of the job is placed on a host. */
  recordPlacement(job: JobRun): void {
    const first = this.pending.get(job);
    if (first) first.placedAt ??= this.options.clock.monotonic();
  }

  /** Called when a start order of the job is sent. */
  recordOrder(job: JobRun): void {
    const first = this.pending.get(job);
    if (first) first.orderedAt ??= this.options.clock.monotonic();
  }

  /** Called when no task of the job is placed any more, and none has started. */
  recordUnstarted(job: JobRun): void {
    const first = this.pending.get(job);
    if (!first) return;
    first.placedAt = undefined;
    first.orderedAt = undefined;
  }

  /** Called when a host has started a task of the job. */
  recordStart(job: JobRun): void {
    const first = this.pending.get(job);
    if (!first) return;
    this.pending.delete(job);
    const { clock, logger, metrics } = this.options;
    const now = clock.monotonic();
    const { heardMs, heardAt, placedAt = now, orderedAt = now } = first;
    const phases = {
      heardMs,
      waitedMs: placedAt - heardAt,
      recordMs: orderedAt - placedAt,
      orderMs: now - orderedAt,
    };
    metrics.latency("first_start_heard").record(phases.heardMs);
    metrics.latency("first_start_wait").record(phases.waitedMs);
    metrics.latency("first_start_record").record(phases.recordMs);
    metrics.latency("first_start_order").record(phases.orderMs);
    logger.info("job.started", {
      job: job.id,
      queue: job.accepted.spec.queue,
      heardMs: Math.round(phases.heardMs),
      waitedMs: Math.round(phases.waitedMs),
      recordMs: Math.round(phases.recordMs),
      orderMs: Math.round(phases.orderMs),
      pausedMs: Math.round(this.totalPausedMs() - first.pausedMs),
    });
  }

  private totalPausedMs(): number {
    return this.options.pauses?.totalPausedMs() ?? 0;
  }
}
