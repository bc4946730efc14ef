/**
 * What the leader believes of one host: its worker, the room that is taken,
 * the runs there, and until when they may go on if the host falls silent.
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
import { natureOf } from "./describeTask.js";
import type { JobTask } from "./JobTask.js";
import type { StopOrder, StoppingRun } from "./StopOrder.js";

/**
 * `starting`: ordered, not confirmed. `running`: seen by the worker.
 * `unsure`: ordered without an answer; it may begin until its order lapses.
 * `stopping`: a stop was ordered; its room is taken until the end is listed.
 */
export type RunPhase = "starting" | "running" | "unsure" | "stopping";

export interface ActiveRun {
  readonly task: JobTask;
  readonly run: RunNumber;
  phase: RunPhase;
  /** On the leader's clock. */
  readonly startedAt: Monotonic;
  /** Begins apart from other new runs until it has worked for this long, milliseconds. */
  readonly isolationMs: number;
  /** Worker's clock when it first showed the run; undefined before. */
  firstSeenAt: WorkerTime | undefined;
  /** Worker's clock when it last showed the run, by a list or its answer to the start; undefined before. */
  lastSeenAt: WorkerTime | undefined;
  /** Worker's clock after which an unanswered order does nothing. */
  readonly orderExpiresAt: WorkerTime;
  progressPercent: number;
  /** When the progress last grew, on the leader's clock. */
  progressedAt: Monotonic;
  /** Tail latency in milliseconds, or thousandths of a core in use; see TaskHost. */
  reading: number;
  /** Since when a filling task has crawled, on the leader's clock; undefined while it does not. */
  crawlingSince: Monotonic | undefined;
  /** Undefined while the run is wanted. */
  stop: StopOrder | undefined;
}

/** For how long the worker has shown the run, milliseconds of its clock. */
export const workedMs = ({ firstSeenAt, lastSeenAt }: ActiveRun): number =>
  firstSeenAt === undefined || lastSeenAt === undefined
    ? 0
    : lastSeenAt - firstSeenAt;

/** Whether no other run may begin on its host yet, so that a crash there is this one's. */
export const isIsolated = (run: ActiveRun): boolean =>
  workedMs(run) < run.isolationMs;

/** The worker has shown the run at that time of its clock. */
export const markSeen = (run: ActiveRun, at: WorkerTime): void => {
  run.firstSeenAt ??= at;
  run.lastSeenAt = at;
};

export const runRefOf = ({ task, run }: ActiveRun): RunRef => ({
  task: task.id,
  run,
});

/**
 * A run that the worker lists and that no waiting task accounts for, such as one
 * of a job that its caller cancelled under a former leader.
 */
export interface OrphanRun {
  readonly run: RunRef;
  /** Undefined when no record tells what it is. */
  readonly task: JobTask | undefined;
  readonly stop: StopOrder;
}

/** Sums over the runs of one host; `filling` ones take memory only. */
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

/** What the tasks of a host showed in its last report, by image. */
export interface HostReadings {
  /** Logarithm of the longest tail of each serving image, as a share of its target. */
  readonly tails: ReadonlyMap<ImageName, number>;
  /** Cores in use by each filling image. */
  readonly usedCores: ReadonlyMap<ImageName, number>;
}

const NO_READINGS: HostReadings = { tails: new Map(), usedCores: new Map() };

export class HostState {
  /** By run: a worker may run two of one task. */
  readonly runs = new Map<string, ActiveRun>();
  /** The worker's clock when it last reported, and when the report arrived. */
  reportedAt: WorkerTime | undefined;
  reportReceivedAt: Monotonic = -Infinity;
  /** When every lease granted so far is over for certain. */
  private grantsExpireBy: Monotonic = -Infinity;
  /** When every lease is over that a start to a former life may bring, carried out late. */
  private previousStartsExpireBy: Monotonic = -Infinity;
  /** When all that its side has sent is over, as the side told; Infinity before it did. */
  private sentLeasesExpireBy: Monotonic = Infinity;
  /** When every order to start given so far has lapsed for certain, and its lease is over. */
  private ordersExpireBy: Monotonic = -Infinity;
  /** No tasks are started there before; set when the worker refuses one. */
  pausedUntil: Monotonic = -Infinity;
  /**
   * Moving mean of the logarithm of (run time as it shows / that of tasks of the
   * same step on other hosts): 0 for an ordinary host, 0.7 for one half as fast.
   */
  slowness = 0;
  /** Ends up to this number were taken note of, and are being kept. */
  processedEnds = 0;
  /** Ends up to this number are kept. */
  acknowledgedEnds = 0;
  /** What its tasks showed in the last report. */
  readings: HostReadings = NO_READINGS;
  private readonly servingCounts = new Map<ImageName, number>();
  private readonly requestedFillingCores = new Map<ImageName, number>();
  private readonly totals: AllocatedResources = { ...NOTHING_ALLOCATED };
  private readonly runsPerStep = new Map<object, number>();
  /** Runs that were to begin apart, also those that have. */
  private readonly isolatedRuns = new Set<ActiveRun>();
  /** By run. */
  private readonly orphans = new Map<string, OrphanRun>();
  /** How many of the strays no record tells of. */
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

  /** Whether a run there begins apart: no other is to begin beside it. */
  get hasIsolatedRun(): boolean {
    for (const run of this.isolatedRuns) if (isIsolated(run)) return true;
    return false;
  }

  /** Whether the run takes room there by the leader's books. */
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
   * Takes the strays of the newest report in place of those before. A stop takes
   * its time, and workers that do not guard their room would start more beside them.
   */
  replaceOrphans(orphans: readonly OrphanRun[]): void {
    for (const orphan of this.orphans.values()) this.accountOrphan(orphan, -1);
    this.orphans.clear();
    for (const orphan of orphans) {
      this.orphans.set(runKeyOf(orphan.run), orphan);
      this.accountOrphan(orphan, 1);
    }
  }

  /** The stray that the newest report listed as this run. */
  orphanOf(run: RunRef): OrphanRun | undefined {
    return this.orphans.get(runKeyOf(run));
  }

  /** All runs there that are to stop. */
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

  /** A stray has ended. */
  removeOrphan(run: RunRef): void {
    const key = runKeyOf(run);
    const orphan = this.orphans.get(key);
    if (!orphan) return;
    this.orphans.delete(key);
    this.accountOrphan(orphan, -1);
  }

  /** Whether a run of unknown size may take all that the host has. */
  get mayBeFull(): boolean {
    return this.orphansWithoutRecord > 0;
  }

  /** When nothing runs there any more for certain, unless the host is heard before. */
  get leasesExpireBy(): Monotonic {
    const grantedExpireBy = Math.max(
      this.grantsExpireBy,
      this.previousStartsExpireBy,
    );
    const leasesExpireBy = Math.min(grantedExpireBy, this.sentLeasesExpireBy);
    return Math.max(leasesExpireBy, this.ordersExpireBy);
  }

  /** A lease was granted that is over by then for certain. */
  recordGrant(expiresBy: Monotonic): void {
    this.grantsExpireBy = Math.max(this.grantsExpireBy, expiresBy);
    this.clearSilence();
  }

  /** The worker may carry out a start of a former life, whose lease is over by then. */
  recordPreviousStarts(expiresBy: Monotonic): void {
    this.previousStartsExpireBy = Math.max(
      this.previousStartsExpireBy,
      expiresBy,
    );
  }

  /** An order was given whose lease is over by then for certain. */
  recordOrder(expiresBy: Monotonic): void {
    this.ordersExpireBy = Math.max(this.ordersExpireBy, expiresBy);
  }

  /**
   * The side renews nothing before it hears of the next grant, and all that it has sent
   * is over by then. Orders that are on their way to it keep their time.
   *
   * @returns by how much sooner nothing runs there any more, milliseconds; negative when later
   */
  recordSilence(expiresBy: Monotonic): number {
    const before = this.leasesExpireBy;
    this.sentLeasesExpireBy = expiresBy;
    return before - this.leasesExpireBy;
  }

  /** Another process of the side, which knows nothing of that time, may serve the host. */
  clearSilence(): void {
    this.sentLeasesExpireBy = Infinity;
  }

  countOfStep(step: object): number {
    return this.runsPerStep.get(step) ?? 0;
  }

  /** Images of the serving tasks that run there. */
  get servingImages(): Iterable<ImageName> {
    return this.servingCounts.keys();
  }

  /** Whether serving tasks run there, and all of this image. */
  servesOnly(image: ImageName): boolean {
    return this.servingCounts.size === 1 && this.servingCounts.has(image);
  }

  /** Cores that the filling tasks there ask for, by image. */
  get fillingCores(): ReadonlyMap<ImageName, number> {
    return this.requestedFillingCores;
  }

  hasLabel(label: string): boolean {
    return label === "" || this.worker.labels.includes(label);
  }

  /** A new life of the worker: nothing of the old one is left. */
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
    switch (natureOf(task).kind) {
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

/** Sums below this are nothing but the error of adding fractions. */
const MIN_SUM = 1e-6;

/** Adds to a sum; sums that come down to nothing are dropped. */
const addTo = <K>(sums: Map<K, number>, key: K, amount: number): void => {
  const sum = (sums.get(key) ?? 0) + amount;
  if (sum < MIN_SUM) sums.delete(key);
  else sums.set(key, sum);
};
