/**
 * Publishes the load summary at an interval while work is pending, and once when it no
 * longer is. It is written together with progress records, so it causes no calls to the
 * store of its own while there are any.
 */

import {
  MILLI_CORES_PER_CORE,
  type AvailabilityZone,
  type Clock,
  type Epoch,
  type Metrics,
  type ServiceName,
  type Timer,
} from "@rackspan/common";
import type { JobRun, ProgressJournal, StepRun } from "@rackspan/jobs";
import type { OutlierEjector } from "@rackspan/routing";
import {
  encodeLoadSummary,
  PROGRESS_KEYS,
  type LoadSummary,
} from "@rackspan/state";
import type { EngineOptions } from "./engineTypes.js";
import type { HostRegistry } from "./HostRegistry.js";
import type { JobRegistry } from "./JobRegistry.js";
import type { RuntimeEstimator } from "./RuntimeEstimator.js";
import { summarizeLoad } from "./summarizeLoad.js";
import { usableHosts } from "./usableHosts.js";
import { WorkRateMeter } from "./WorkRateMeter.js";

export interface LoadSummaryPublisherOptions {
  readonly epoch: Epoch;
  readonly journal: ProgressJournal;
  readonly jobs: JobRegistry;
  readonly hosts: HostRegistry;
  readonly estimates: RuntimeEstimator;
  readonly ejector: OutlierEjector;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly queueOf: EngineOptions["queueOf"];
  readonly isEvacuated: (zone: AvailabilityZone) => boolean;
  readonly mayDecide: () => boolean;
  /** Milliseconds; 0 for never. */
  readonly intervalMs: number;
}

export class LoadSummaryPublisher {
  private readonly meter = new WorkRateMeter();
  private timer: Timer | undefined;
  private wasPending = false;

  constructor(private readonly options: LoadSummaryPublisherOptions) {}

  start(): void {
    const { clock, intervalMs, mayDecide } = this.options;
    if (intervalMs === 0) return;
    this.timer = clock.after(intervalMs, () => {
      if (mayDecide()) this.publish();
      this.start();
    });
  }

  stop(): void {
    this.timer?.cancel();
  }

  /** Counts a task of the step as done. */
  recordDone(step: StepRun): void {
    const { estimates, intervalMs } = this.options;
    if (intervalMs === 0) return;
    const { job, spec } = step;
    const milliCoreMs = estimates.taskMs(step) * spec.demand.milliCores;
    this.meter.recordDone(
      this.serviceOf(job),
      job.terms.priority,
      milliCoreMs / MILLI_CORES_PER_CORE,
    );
  }

  private publish(): void {
    const summary = this.summarize();
    const isPending = summary.services.length > 0;
    if (!isPending && !this.wasPending) return;
    this.wasPending = isPending;
    const value = encodeLoadSummary(summary);
    const { journal, metrics } = this.options;
    journal.writeAlong({ key: PROGRESS_KEYS.load, value });
    metrics.count("load_summaries");
  }

  private summarize(): LoadSummary {
    const { epoch, jobs, hosts, estimates, ejector, clock, isEvacuated } =
      this.options;
    const monotonic = clock.monotonic();
    const usable = usableHosts({
      entries: hosts.all(),
      ejector,
      now: monotonic,
      isEvacuated,
    });
    const hostsByService = new Map(
      [...usable].map(([service, { inService }]) => [
        service as unknown as ServiceName,
        inService,
      ]),
    );
    return summarizeLoad({
      epoch,
      jobs: jobs.all(),
      hosts: hostsByService,
      allHosts: [...hosts.all()].map(({ hostState }) => hostState),
      serviceOf: (job) => this.serviceOf(job),
      estimates,
      meter: this.meter,
      now: clock.now(),
      monotonic,
    });
  }

  private serviceOf({ accepted, terms }: JobRun): ServiceName {
    const { queueOf } = this.options;
    return (queueOf(accepted.spec.queue) ?? terms).service;
  }
}
