/**
 * The leader's state of one host: its worker, the allocated resources, the active runs,
 * and the time until which they may continue if the host becomes silent.
 */

import {
  MILLI_CORES_PER_CORE,
  type AvailabilityZone,
  type HostId,
  type Monotonic,
  type RunNumber,
  type WorkerInstance,
  type WorkerTime,
} from "@rackspan/common";
import { runKeyOf, type RunRef } from "@rackspan/ports";
import type { WorkerDescription } from "@rackspan/protocol";
import type { ImageName } from "@rackspan/state";
import { interferenceProfileOf } from "./describeTask.js";
import type { JobTask } from "./JobTask.js";
import type { MeanPace } from "./MeanPace.js";
import type { StopOrder, StoppingRun } from "./StopOrder.js";

/**
 * - `unsent`: placed; its order is sent once its placement is persisted and, if its queue
 *   requires permits, there is a ticket;
 * - `starting`: ordered, not confirmed yet;
 * - `running`: listed or confirmed by the worker;
 * - `unsure`: ordered without an answer; it may start until its order expires;
 * - `stopping`: a stop was ordered; its resources stay allocated until its end is listed.
 */
export type RunPhase =
  "unsent" | "starting" | "running" | "unsure" | "stopping";

export interface ActiveRun {
  readonly task: JobTask;
  readonly run: RunNumber;
  phase: RunPhase;
  /** When the leader placed, ordered or adopted the run last, on its own clock. */
  startedAt: Monotonic;
  /**
   * The run is isolated until it has worked for this long, milliseconds: no other run
   * starts on its host. 0 if it does not need an isolated start.
   */
  readonly isolationMs: number;
  /** Worker's clock when it first reported the run; undefined before. */
  firstSeenAt: WorkerTime | undefined;
  /**
   * Worker's clock when it last reported the run, in a list or in its answer to the
   * start; undefined before.
   */
  lastSeenAt: WorkerTime | undefined;
  /** Worker's clock after which an unanswered order has no effect; Infinity until it is sent. */
  orderExpiresAt: WorkerTime;
  progressPercent: number;
  /** When the progress last increased, on the leader's clock. */
  progressedAt: Monotonic;
  /** Tail latency in milliseconds, or millicores in use; see TaskHost. */
  reading: number;
  readonly meanPace: MeanPace;
  /** Since when a filling task has been crawling, on the leader's clock; undefined if it is not. */
  crawlingSince: Monotonic | undefined;
  /** Undefined while the run is wanted. */
  stop: StopOrder | undefined;
}

/** Time between the worker's first and last report of the run, milliseconds of its clock. */
export const workedMs = ({ firstSeenAt, lastSeenAt }: ActiveRun): number =>
  firstSeenAt === undefined || lastSeenAt === undefined
    ? 0
    : lastSeenAt - firstSeenAt;

/**
 * Whether the run is still isolated: no other run may start on its host, so that a crash
 * of the worker can be attributed to this run.
 */
export const isIsolated = (run: ActiveRun): boolean =>
  workedMs(run) < run.isolationMs;

/** Records that the worker reported the run at the given time of its clock. */
export const markSeen = (run: ActiveRun, at: WorkerTime): void => {
  run.firstSeenAt ??= at;
  run.lastSeenAt = at;
};

export const runRefOf = ({ task, run }: ActiveRun): RunRef => ({
  task: task.id,
  run,
});

/**
 * A run that the worker lists and that no task waits for, such as one of a job that its
 * caller cancelled under a previous leader.
 */
export interface OrphanRun {
  readonly run: RunRef;
  /** Undefined when no record describes the task. */
  readonly task: JobTask | undefined;
  readonly stop: StopOrder;
}

/**
 * Resources allocated to the runs of one host. Filling tasks occupy memory but reserve
 * no cores; the cores that they request are summed separately.
 */
export interface AllocatedResources {
  plainMilliCores: number;
  servingMilliCores: number;
  fillingMilliCores: number;
  memoryMiB: number;
  accelerators: number;
}

const NOTHING_ALLOCATED: AllocatedResources = {
  plainMilliCores: 0,
  servingMilliCores: 0,
  fillingMilliCores: 0,
  memoryMiB: 0,
  accelerators: 0,
};

/** Readings of the tasks of a host in its last report, by image. */
export interface HostReadings {
  /** Logarithm of the longest tail latency of each serving image, relative to its target. */
  readonly tails: ReadonlyMap<ImageName, number>;
  /** Cores in use by each filling image. */
  readonly usedCores: ReadonlyMap<ImageName, number>;
}

const NO_READINGS: HostReadings = { tails: new Map(), usedCores: new Map() };

export class HostState {
  /** By run, as a worker may have two runs of one task. */
  readonly runs = new Map<string, ActiveRun>();
  /** The worker's clock at its last report. */
  reportedAt: WorkerTime | undefined;
  /** When that report arrived, on the leader's clock. */
  reportReceivedAt: Monotonic = -Infinity;
  /** When every lease granted so far is known to have expired. */
  private grantsExpireBy: Monotonic = -Infinity;
  /**
   * When every lease has expired that belongs to a start for a previous incarnation, in
   * case that start is executed late.
   */
  private previousStartsExpireBy: Monotonic = -Infinity;
  /** When every lease that the side has sent expires, as reported by it; Infinity until then. */
  private sentLeasesExpireBy: Monotonic = Infinity;
  /** When every start order sent so far is known to have expired together with its lease. */
  private ordersExpireBy: Monotonic = -Infinity;
  /** No tasks are started there before this time; set when the worker refuses one. */
  pausedUntil: Monotonic = -Infinity;
  /**
   * Moving mean of the logarithm of the ratio between the run time of tasks on this host
   * and that of tasks of the same step on other hosts: 0 for a host of average speed,
   * 0.7 for a host that is half as fast.
   */
  slowness = 0;
  /** Ends up to this number have been processed; their records may not be persisted yet. */
  processedEnds = 0;
  /** Ends up to this number are persisted. */
  acknowledgedEnds = 0;
  /** Readings of its tasks in the last report. */
  readings: HostReadings = NO_READINGS;
  private readonly servingCounts = new Map<ImageName, number>();
  private readonly requestedFillingCores = new Map<ImageName, number>();
  private readonly totals: AllocatedResources = { ...NOTHING_ALLOCATED };
  private readonly runsPerStep = new Map<object, number>();
  /** Runs with an isolation time, including those whose isolation has ended. */
  private readonly isolatedRuns = new Set<ActiveRun>();
  /** By run. */
  private readonly orphans = new Map<string, OrphanRun>();
  /** Number of orphans without a record; their demand is unknown. */
  private orphansWithoutRecord = 0;

  constructor(
    readonly host: HostId,
    readonly availabilityZone: AvailabilityZone,
    public worker: WorkerDescription,
  ) {}

  get instance(): WorkerInstance {
    return this.worker.instance;
  }

  get allocated(): Readonly<AllocatedResources> {
    return this.totals;
  }

  add(run: ActiveRun): void {
    this.runs.set(runKeyOf(runRefOf(run)), run);
    if (run.isolationMs > 0) this.isolatedRuns.add(run);
    this.account(run.task, 1);
  }

  /** Whether a run there is isolated, so that no other run may start on the host. */
  get hasIsolatedRun(): boolean {
    for (const run of this.isolatedRuns) if (isIsolated(run)) return true;
    return false;
  }

  /** Whether a run there other than the given one is isolated. */
  hasIsolatedRunBeside(other: ActiveRun): boolean {
    for (const run of this.isolatedRuns)
      if (run !== other && isIsolated(run)) return true;
    return false;
  }

  /** Whether the leader counts the run as active on this host. */
  has(run: ActiveRun): boolean {
    return this.runs.get(runKeyOf(runRefOf(run))) === run;
  }

  remove(run: ActiveRun): void {
    if (!this.has(run)) return;
    this.runs.delete(runKeyOf(runRefOf(run)));
    this.isolatedRuns.delete(run);
    this.account(run.task, -1);
  }

  /**
   * Replaces the orphans with those of the latest report. Their resources stay allocated,
   * because a stop takes time, and a worker that does not enforce its capacity would
   * start further tasks beside them.
   */
  replaceOrphans(orphans: readonly OrphanRun[]): void {
    for (const orphan of this.orphans.values()) this.accountOrphan(orphan, -1);
    this.orphans.clear();
    for (const orphan of orphans) {
      this.orphans.set(runKeyOf(orphan.run), orphan);
      this.accountOrphan(orphan, 1);
    }
  }

  /** The orphan that the latest report listed under this run. */
  orphanOf(run: RunRef): OrphanRun | undefined {
    return this.orphans.get(runKeyOf(run));
  }

  /** All runs there that are to stop, including orphans. */
  get stopping(): readonly StoppingRun[] {
    const stopping: StoppingRun[] = [];
    for (const run of this.runs.values()) {
      const { stop, lastSeenAt } = run;
      if (stop) stopping.push({ ref: runRefOf(run), stop, lastSeenAt });
    }
    for (const { run: ref, stop } of this.orphans.values()) {
      stopping.push({ ref, stop, lastSeenAt: this.reportedAt });
    }
    return stopping;
  }

  /** Removes an orphan that has ended and frees its resources. */
  removeOrphan(run: RunRef): void {
    const key = runKeyOf(run);
    const orphan = this.orphans.get(key);
    if (!orphan) return;
    this.orphans.delete(key);
    this.accountOrphan(orphan, -1);
  }

  /** Whether the host counts as full because an orphan of unknown demand runs there. */
  get mayBeFull(): boolean {
    return this.orphansWithoutRecord > 0;
  }

  /** When every run there is known to have ended, unless the host reports before. */
  get leasesExpireBy(): Monotonic {
    const grantedExpireBy = Math.max(
      this.grantsExpireBy,
      this.previousStartsExpireBy,
    );
    const leasesExpireBy = Math.min(grantedExpireBy, this.sentLeasesExpireBy);
    return Math.max(leasesExpireBy, this.ordersExpireBy);
  }

  /** Records a granted lease that expires by the given time at the latest. */
  recordGrant(expiresBy: Monotonic): void {
    this.grantsExpireBy = Math.max(this.grantsExpireBy, expiresBy);
    this.clearSilence();
  }

  /**
   * Records that the worker may execute a start for a previous incarnation, whose lease
   * expires by the given time at the latest.
   */
  recordPreviousStarts(expiresBy: Monotonic): void {
    this.previousStartsExpireBy = Math.max(
      this.previousStartsExpireBy,
      expiresBy,
    );
  }

  /** Records a start order whose lease expires by the given time at the latest. */
  recordOrder(expiresBy: Monotonic): void {
    this.ordersExpireBy = Math.max(this.ordersExpireBy, expiresBy);
  }

  /**
   * Records that the worker is silent and when the leases expire that its side has sent.
   * The side renews no lease before it receives the next grant. Start orders that are in
   * flight to it keep their own expiry.
   *
   * @returns by how many milliseconds the leases expire sooner than recorded; negative if later
   */
  recordSilence(expiresBy: Monotonic): number {
    const before = this.leasesExpireBy;
    this.sentLeasesExpireBy = expiresBy;
    return before - this.leasesExpireBy;
  }

  /** Drops the reported expiry, as another side process may serve the host without knowing it. */
  clearSilence(): void {
    this.sentLeasesExpireBy = Infinity;
  }

  /** Number of runs of the step on the host. */
  countOfStep(step: object): number {
    return this.runsPerStep.get(step) ?? 0;
  }

  /** Images of the serving tasks on the host. */
  get servingImages(): Iterable<ImageName> {
    return this.servingCounts.keys();
  }

  /** Number of serving tasks of this image on the host. */
  servingCount(image: ImageName): number {
    return this.servingCounts.get(image) ?? 0;
  }

  /** Whether there are serving tasks on the host and all of them are of this image. */
  servesOnly(image: ImageName): boolean {
    return this.servingCounts.size === 1 && this.servingCounts.has(image);
  }

  /** Cores that the filling tasks on the host request, by image. */
  get fillingCores(): ReadonlyMap<ImageName, number> {
    return this.requestedFillingCores;
  }

  hasLabel(label: string): boolean {
    return label === "" || this.worker.labels.includes(label);
  }

  /** Resets the state for a new incarnation of the worker; the previous one has left nothing. */
  replaceWorker(worker: WorkerDescription): void {
    this.worker = worker;
    this.slowness = 0;
    this.pausedUntil = -Infinity;
    this.reportedAt = undefined;
    this.readings = NO_READINGS;
    this.processedEnds = 0;
    this.acknowledgedEnds = 0;
    this.replaceOrphans([]);
  }

  private accountOrphan({ task }: OrphanRun, sign: 1 | -1): void {
    if (task) this.account(task, sign);
    else this.orphansWithoutRecord += sign;
  }

  private account(task: JobTask, sign: 1 | -1): void {
    const { demand, image } = task.step.spec;
    const milliCores = sign * demand.milliCores;
    switch (interferenceProfileOf(task).kind) {
      case "filling":
        this.totals.fillingMilliCores += milliCores;
        addTo(
          this.requestedFillingCores,
          image,
          milliCores / MILLI_CORES_PER_CORE,
        );
        break;
      case "serving":
        this.totals.servingMilliCores += milliCores;
        addTo(this.servingCounts, image, sign);
        break;
      case "plain":
        this.totals.plainMilliCores += milliCores;
    }
    this.totals.memoryMiB += sign * demand.memoryMiB;
    this.totals.accelerators += sign * demand.accelerators;
    addTo(this.runsPerStep, task.step, sign);
  }
}

/** Sums below this are rounding errors. */
const MIN_SUM = 1e-6;

/** Adds to a sum and removes it if it becomes zero. */
const addTo = <K>(sums: Map<K, number>, key: K, amount: number): void => {
  const sum = (sums.get(key) ?? 0) + amount;
  if (sum < MIN_SUM) sums.delete(key);
  else sums.set(key, sum);
};
