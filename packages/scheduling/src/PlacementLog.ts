/**
 * Persists on which host each task is placed, before its start is ordered. The next leader
 * then knows for each task where it may be running, and the task waits only for that host.
 */

import {
  describeError,
  type Clock,
  type Epoch,
  type Logger,
  type Metrics,
} from "@rackspan/common";
import {
  restorePlacements,
  type JobRun,
  type JobTask,
  type KnownPlacement,
  type ProgressJournal,
  type TakeoverGate,
} from "@rackspan/jobs";
import type { ProgressRecord } from "@rackspan/state";
import { ENGINE } from "./engineTypes.js";
import type { JobRegistry } from "./JobRegistry.js";

export interface PlacementLogOptions {
  readonly journal: ProgressJournal;
  readonly jobs: JobRegistry;
  readonly gate: TakeoverGate;
  readonly clock: Clock;
  readonly epoch: Epoch;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /**
   * Epoch since which every leader has recorded all placements; undefined if the records
   * of previous leaders are not to be trusted.
   */
  readonly placementsSince: number | undefined;
  /**
   * Called once the placements of all tasks are persisted, although those of previous
   * leaders were not to be trusted. Called again at a later tick if it rejects.
   */
  readonly onComplete: () => Promise<void>;
}

/**
 * Returns the recorded placement of the task; undefined if the task may run on any host.
 */
export const knownPlacementOf = ({
  step,
  placedOn,
}: JobTask): KnownPlacement | undefined =>
  step.job.placementEpoch === undefined ? undefined : { host: placedOn };

/**
 * Drops the announced runs of tasks without a recorded host: they were never ordered, so
 * they crashed no worker. Runs of leaders before `placementsSince` may have been ordered
 * without a record.
 */
const dropUnorderedRuns = (job: JobRun, placementsSince: number): void => {
  const firstRun = placementsSince * ENGINE.runsPerEpoch;
  for (const { tasks } of job.steps) {
    for (const task of tasks) {
      const { writeAheadRun = -Infinity, placedOn } = task;
      if (placedOn === undefined && writeAheadRun >= firstRun)
        task.writeAheadRun = undefined;
    }
  }
};

export class PlacementLog {
  /** Whether the placements of all tasks are persisted, or are being persisted. */
  private isComplete: boolean;
  /** Jobs whose placements became known and are not persisted yet. */
  private readonly incomplete = new Set<JobRun>();

  constructor(private readonly options: PlacementLogOptions) {
    this.isComplete = options.placementsSince !== undefined;
  }

  /**
   * Takes over the placements of a job from its last record. Without any record its tasks
   * were never started.
   */
  restore(job: JobRun, progress: ProgressRecord | undefined): void {
    const { placementsSince, epoch } = this.options;
    if (placementsSince === undefined) return;
    if (progress) {
      const { placed, placedEpoch = -Infinity } = progress;
      if (!placed || placedEpoch < placementsSince) return;
      restorePlacements(job, placed);
      dropUnorderedRuns(job, placementsSince);
    }
    job.placementEpoch = Number(epoch);
  }

  /**
   * Resolves once the current placement of the task is persisted. Rejects if it is not and
   * never will be, or if another leader has taken over.
   */
  async record({ step }: JobTask): Promise<void> {
    const { clock, metrics } = this.options;
    // If the placements of its job were unknown, the gate has let the task start only
    // because no task of the job can run unknown to this leader any more.
    this.setKnown(step.job);
    const startedAt = clock.monotonic();
    await this.options.journal.persistSoon(step.job);
    metrics.count("placements_recorded");
    metrics.latency("placement_record").record(clock.monotonic() - startedAt);
  }

  /**
   * Persists the placement of a run that was adopted on another host than the recorded
   * one: of a host that lists a run again after its leases were over by the count of the
   * leader, or of the last host of a task that another host was recorded for.
   */
  correct(task: JobTask, recorded: KnownPlacement | undefined): void {
    if (!recorded || recorded.host === task.placedOn) return;
    const { logger, metrics } = this.options;
    const kind = recorded.host === undefined ? "none" : "other-host";
    metrics.count("placements_corrected", { recorded: kind });
    logger.info("placement.corrected", {
      task: task.id,
      recorded: recorded.host,
      host: task.placedOn,
    });
    this.persistLater(task.step.job).catch(() => undefined);
  }

  /**
   * Persists the placements of all jobs once no run of a previous leader can be unknown,
   * so that the next leader can trust the records. Called at each tick of the engine.
   */
  completeWhenKnown(): void {
    const { gate, clock, logger, journal } = this.options;
    if (this.isComplete || !gate.isOpen(clock.monotonic())) return;
    this.isComplete = true;
    this.complete().catch((err: unknown) => {
      // Until it succeeds, the next leader trusts no placements, and waits for all hosts.
      logger.warn("placements.incomplete", { error: describeError(err) });
      this.isComplete = journal.isClosed;
    });
  }

  private async complete(): Promise<void> {
    const { jobs, logger, onComplete } = this.options;
    for (const job of jobs.unended()) {
      if (job.placementEpoch !== undefined) continue;
      this.setKnown(job);
      // A job without a record counts as never started.
      if (job.wasPlaced) this.incomplete.add(job);
    }
    logger.info("placements.completing", { jobs: this.incomplete.size });
    await Promise.all(
      [...this.incomplete].map((job) => this.persistLater(job)),
    );
    this.incomplete.clear();
    await onComplete();
  }

  private persistLater(job: JobRun): Promise<void> {
    return this.options.journal.persist(job);
  }

  private setKnown(job: JobRun): void {
    // Segments of a leader that recorded no placements do not name the hosts of their tasks.
    if (!job.hasPlacements) job.markUnpersisted();
    job.placementEpoch = Number(this.options.epoch);
  }
}
