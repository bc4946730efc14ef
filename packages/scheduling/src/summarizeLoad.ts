/** Computes the load summary from the jobs and hosts of the leader. */

import {
  MILLI_CORES_PER_CORE,
  type Epoch,
  type Instant,
  type Monotonic,
  type ServiceName,
} from "@rackspan/common";
import {
  interferenceProfileOf,
  type HostState,
  type JobRun,
  type StepRun,
} from "@rackspan/jobs";
import { densityBucketOf, MIN_WORK, utilityOf } from "@rackspan/routing";
import type {
  FreeCapacity,
  LoadSummary,
  PriorityLoad,
  QueueKey,
  QueueLoad,
} from "@rackspan/state";
import { REMAINING_UTILITY } from "./byUtilityOrder.js";
import { deadlineFeasibilityOf } from "./deadlineFeasibility.js";
import type { RuntimeEstimator } from "./RuntimeEstimator.js";
import type { WorkRateMeter } from "./WorkRateMeter.js";

/**
 * Share of a placed task's work that is still to be done: tasks are placed at all
 * times, so on the mean half of each is done.
 */
const PLACED_WORK_LEFT = 0.5;

export interface LoadInputs {
  readonly epoch: Epoch;
  /** All jobs of the leader, including ended ones, which count for mean work only. */
  readonly jobs: Iterable<JobRun>;
  /** Hosts that accept tasks, by service. */
  readonly hosts: ReadonlyMap<ServiceName, readonly HostState[]>;
  readonly serviceOf: (job: JobRun) => ServiceName;
  readonly estimates: RuntimeEstimator;
  readonly meter: WorkRateMeter;
  readonly now: Instant;
  readonly monotonic: Monotonic;
}

/** Pending work of one priority of a service. */
interface PendingLoad {
  readonly buckets: Map<number, number>;
  /** Smallest demand of a waiting task that found no host, millicores; Infinity if none. */
  unplacedPlain: number;
  unplacedFilling: number;
}

type PendingLoads = Map<ServiceName, Map<number, PendingLoad>>;

export const summarizeLoad = (inputs: LoadInputs): LoadSummary => {
  const { epoch, now, estimates } = inputs;
  const jobs = [...inputs.jobs];
  const queues = summarizeQueues(jobs, estimates);
  const meanWork = new Map(queues.map((each) => [each.queue, each.meanWork]));
  const pending: PendingLoads = new Map();
  for (const job of jobs) {
    if (!job.isEnded) addPending(pending, job, inputs, meanWork);
  }
  const services = [...pending].map(([service, byPriority]) => ({
    service,
    priorities: [...byPriority]
      .sort(([a], [b]) => a - b)
      .map(([priority, load]) =>
        summarizePriority(service, priority, load, byPriority, inputs),
      ),
  }));
  return { epoch: Number(epoch), writtenAt: now, services, queues };
};

const summarizeQueues = (
  jobs: readonly JobRun[],
  estimates: RuntimeEstimator,
): QueueLoad[] => {
  const sums = new Map<QueueKey, { jobs: number; work: number }>();
  for (const job of jobs) {
    const { queue } = job.accepted.spec;
    const sum = sums.get(queue) ?? { jobs: 0, work: 0 };
    sum.jobs += 1;
    sum.work += estimates.totalWork(job);
    sums.set(queue, sum);
  }
  return [...sums].map(([queue, sum]) => ({
    queue,
    runTimeRatio: estimates.runTimeRatio(queue),
    meanWork: sum.work / sum.jobs,
  }));
};

const addPending = (
  pending: PendingLoads,
  job: JobRun,
  { serviceOf, estimates, now }: LoadInputs,
  meanWork: ReadonlyMap<QueueKey, number>,
): void => {
  const steps = job.steps.filter(({ spec }) => !spec.lasting);
  const [first] = steps;
  if (!first) return;
  const load = pendingLoadOf(pending, serviceOf(job), job.terms.priority);
  const feasibility = deadlineFeasibilityOf(
    { job, step: first, isStarved: false },
    estimates,
    now,
  );
  const utility = utilityOf(
    estimates.totalWork(job),
    meanWork.get(job.accepted.spec.queue) ?? 0,
  );
  const density = utility / Math.max(MIN_WORK, estimates.unplacedWork(job));
  const bucket = densityBucketOf(REMAINING_UTILITY[feasibility] * density);
  let work = 0;
  for (const step of steps) {
    work += pendingWorkOf(step, estimates);
    recordUnplaced(load, step);
  }
  load.buckets.set(bucket, (load.buckets.get(bucket) ?? 0) + work);
};

const pendingLoadOf = (
  pending: PendingLoads,
  service: ServiceName,
  priority: number,
): PendingLoad => {
  let byPriority = pending.get(service);
  if (!byPriority) pending.set(service, (byPriority = new Map()));
  let load = byPriority.get(priority);
  if (!load) {
    load = {
      buckets: new Map(),
      unplacedPlain: Infinity,
      unplacedFilling: Infinity,
    };
    byPriority.set(priority, load);
  }
  return load;
};

/** Core-milliseconds that the step still needs. */
const pendingWorkOf = (step: StepRun, estimates: RuntimeEstimator): number => {
  const waiting = step.waiting.size;
  const placed = step.tasks.length - step.doneCount - waiting;
  const tasks = waiting + PLACED_WORK_LEFT * placed;
  const { milliCores } = step.spec.demand;
  return (tasks * estimates.taskMs(step) * milliCores) / MILLI_CORES_PER_CORE;
};

/**
 * Steps with rules of their own are left out: that they find no host says nothing about
 * other tasks.
 */
const recordUnplaced = (load: PendingLoad, step: StepRun): void => {
  const { spec, waiting, unplacedSince } = step;
  if (unplacedSince === undefined || waiting.size === 0) return;
  if (spec.gang || spec.requiredLabel !== "" || spec.maxPerHost > 0) return;
  if (step.job.terms.permitRule) return;
  const { milliCores } = spec.demand;
  if (spec.filling)
    load.unplacedFilling = Math.min(load.unplacedFilling, milliCores);
  else load.unplacedPlain = Math.min(load.unplacedPlain, milliCores);
};

const summarizePriority = (
  service: ServiceName,
  priority: number,
  load: PendingLoad,
  byPriority: ReadonlyMap<number, PendingLoad>,
  { hosts, meter, monotonic }: LoadInputs,
): PriorityLoad => {
  const serviceHosts = hosts.get(service) ?? [];
  const unplaced = smallestUnplaced(byPriority, priority);
  const plain = freeFor(serviceHosts, priority, "plain");
  const filling = freeFor(serviceHosts, priority, "filling");
  const isPlainBlocked = !plain.holdsLessUrgent && unplaced.plain < Infinity;
  const isBlocked = isPlainBlocked || unplaced.filling < Infinity;
  meter.recordSaturation(service, priority, isBlocked, monotonic);
  return {
    priority,
    // While less urgent work holds hosts, waiting for them is no lack of capacity.
    plain: limitTo(
      plain.free,
      plain.holdsLessUrgent ? Infinity : unplaced.plain,
    ),
    filling: limitTo(filling.free, unplaced.filling),
    pending: [...load.buckets],
    ...meter.measure(service, priority, monotonic),
  };
};

/** Smallest demands that found no host, of this priority and all more urgent ones. */
const smallestUnplaced = (
  byPriority: ReadonlyMap<number, PendingLoad>,
  priority: number,
): { plain: number; filling: number } => {
  let plain = Infinity;
  let filling = Infinity;
  for (const [each, load] of byPriority) {
    if (each > priority) continue;
    plain = Math.min(plain, load.unplacedPlain);
    filling = Math.min(filling, load.unplacedFilling);
  }
  return { plain, filling };
};

/** @param unplaced smallest demand that found no host */
const limitTo = (free: FreeCapacity, unplaced: number): FreeCapacity =>
  free.largestMilliCores < unplaced
    ? free
    : { ...free, largestMilliCores: Math.max(0, unplaced - 1) };

interface HostCapacity {
  readonly free: FreeCapacity;
  /** Whether the hosts run work of less urgent priorities. */
  readonly holdsLessUrgent: boolean;
}

/**
 * Capacity that is not in use by work of this priority or more urgent ones. What serving
 * tasks reserve is closed to plain tasks, but filling tasks may use what is idle of it.
 */
const freeFor = (
  hosts: readonly HostState[],
  priority: number,
  kind: "plain" | "filling",
): HostCapacity => {
  let freeMilliCores = 0;
  let largestMilliCores = 0;
  let holdsLessUrgent = false;
  for (const host of hosts) {
    let free = host.worker.milliCores;
    for (const { task } of host.runs.values()) {
      const { lasting, filling, demand } = task.step.spec;
      const isServing = interferenceProfileOf(task).kind === "serving";
      const lessUrgent = !lasting && task.step.job.terms.priority > priority;
      if (lessUrgent) holdsLessUrgent = true;
      // Filling tasks reserve nothing that plain tasks could not have.
      const counts = kind === "plain" ? !filling : !isServing;
      if (counts && !lessUrgent) free -= demand.milliCores;
    }
    const left = Math.max(0, free);
    freeMilliCores += left;
    largestMilliCores = Math.max(largestMilliCores, left);
  }
  return { free: { freeMilliCores, largestMilliCores }, holdsLessUrgent };
};
