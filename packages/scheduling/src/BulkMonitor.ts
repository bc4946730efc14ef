/**
 * Reports how many bulk jobs are in progress, at which rate bulk work is done, and
 * which jobs wait, if the order of work measures it.
 */

import type { Monotonic } from "@rackspan/common";
import type { EngineOptions } from "./engineTypes.js";
import type { BulkBacklog, StepOrder } from "./stepOrders.js";

const BULK = {
  /** Interval of the gauges, milliseconds. */
  checkIntervalMs: 1_000,
  /** Interval of the log lines while jobs wait, milliseconds. */
  logIntervalMs: 5_000,
  /** Maximum jobs named in a log line, those that wait next. */
  maxNamedJobs: 6,
} as const;

export class BulkMonitor {
  private checkedAt: Monotonic = -Infinity;
  private loggedAt: Monotonic = -Infinity;
  private readonly priorities = new Set<number>();

  constructor(
    private readonly options: EngineOptions,
    private readonly order: StepOrder,
  ) {}

  /** Called at each tick of the engine. */
  check(): void {
    const now = this.options.clock.monotonic();
    if (now - this.checkedAt < BULK.checkIntervalMs) return;
    this.checkedAt = now;
    const backlogs = this.order.bulkBacklogs?.() ?? [];
    this.setGauges(backlogs);
    const waiting = backlogs.filter(({ waitingJobs }) => waitingJobs.length);
    if (waiting.length === 0 || now - this.loggedAt < BULK.logIntervalMs)
      return;
    this.loggedAt = now;
    for (const backlog of waiting) this.log(backlog);
  }

  /** Resets the gauges when this process is no longer the leader. */
  stop(): void {
    this.setGauges([]);
  }

  private setGauges(backlogs: readonly BulkBacklog[]): void {
    const { metrics } = this.options;
    const byPriority = new Map(backlogs.map((one) => [one.priority, one]));
    for (const { priority } of backlogs) this.priorities.add(priority);
    for (const number of this.priorities) {
      const backlog = byPriority.get(number);
      const priority = String(number);
      const { begunJobs = 0, waitingJobs = [], rate = 0 } = backlog ?? {};
      metrics.gauge("bulk_jobs", begunJobs, { priority, state: "begun" });
      const waiting = waitingJobs.length;
      metrics.gauge("bulk_jobs", waiting, { priority, state: "waiting" });
      metrics.gauge("bulk_rate_cores", rate, { priority });
    }
  }

  private log(backlog: BulkBacklog): void {
    const { priority, begunJobs, waitingJobs, rate, work, rule } = backlog;
    this.options.logger.info("bulk.backlog", {
      priority,
      begun: begunJobs,
      waiting: waitingJobs.length,
      rateCores: rate === undefined ? undefined : Math.round(rate),
      backlogMs: rate === undefined ? undefined : Math.round(work / rate),
      rule,
      next: waitingJobs.slice(0, BULK.maxNamedJobs).join(","),
    });
  }
}
