/** Computes the load summary from the jobs and hosts of the leader. */

import {
  MILLI_CORES_PER_CORE,
  type Epoch,
  type Instant,
  type Monotonic,
  type ServiceName,
} from "@rackspan/common";
import { type HostState, type JobRun, type StepRun } from "@rackspan/jobs";
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
import {
  lacksCapacity,
  largestCapacityOf,
  type LargestCapacity,
} from "./lacksCapacity.js";
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
  /** All hosts, including those that accept no tasks. */
  readonly allHosts: Iterable<HostState>;
  readonly serviceOf: (job: JobRun) => ServiceName;
  readonly estimates: RuntimeEstimator;
  readonly meter: WorkRateMeter;
  readonly now: Instant;
  readonly monotonic: Monotonic;
}

/** Pending work of one priority of a service. */
interface PendingLoad {
  readonly buckets: Map<number, number>;
  /** Core-milliseconds that running tasks have done so far. */
  runningWork: number;
  /** Smallest demand of a task that lacks capacity, millicores; Infinity if none. */
  unplacedPlain: number;
  unplacedFilling: number;
}

type PendingLoads = Map<ServiceName, Map<number, PendingLoad>>;

export const summarizeLoad = (inputs: LoadInputs): LoadSummary => {
  const { epoch, now, estimates } = inputs;
  const works = new Map<JobRun, number>();
  for (const job of inputs.jobs) works.set(job, estimates.totalWork(job));
  const queues = summarizeQueues(works, estimates);
  const meanWork = new Map(queues.map((each) => [each.queue, each.meanWork]));
  const capacities = new Map(
    [...inputs.hosts].map(([service, hosts]) => [
      service,
      largestCapacityOf(hosts),
    ]),
  );
  const pending: PendingLoads = new Map();
  for (const [job, work] of works) {
    if (job.isEnded) continue;
    const mean = meanWork.get(job.accepted.spec.queue) ?? work;
    addPending(pending, job, utilityOf(work, mean), capacities, inputs);
  }
  addRunningWork(pending, inputs);
  const services = [...pending].map(([service, byPriority]) => {
    const hosts = (inputs.hosts.get(service) ?? []).map(useOf);
    const priorities = [...byPriority]
      .sort(([a], [b]) => a - b)
      .map(([priority, load]) =>
        summarizePriority(service, priority, load, byPriority, hosts, inputs),
      );
    return { service, priorities };
  });
  inputs.meter.retain(services);
  return { epoch: Number(epoch), writtenAt: now, services, queues };
};

const summarizeQueues = (
  works: ReadonlyMap<JobRun, number>,
  estimates: RuntimeEstimator,
): QueueLoad[] => {
  const sums = new Map<QueueKey, { jobs: number; work: number }>();
  for (const [job, work] of works) {
    const { queue } = job.accepted.spec;
    const sum = sums.get(queue) ?? { jobs: 0, work: 0 };
    sum.jobs += 1;
    sum.work += work;
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
  utility: number,
  capacities: ReadonlyMap<ServiceName, LargestCapacity>,
  { serviceOf, estimates, now, monotonic }: LoadInputs,
): void => {
  const steps = job.steps.filter(({ spec }) => !spec.lasting);
  const [first] = steps;
  if (!first) return;
  const service = serviceOf(job);
  const load = pendingLoadOf(pending, service, job.terms.priority);
  const capacity = capacities.get(service) ?? largestCapacityOf([]);
  let unplaced = 0;
  let placed = 0;
  for (const step of steps) {
    const taskWork = taskWorkOf(step, estimates);
    const { waiting, tasks, doneCount } = step;
    unplaced += taskWork * waiting.size;
    placed += taskWork * (tasks.length - doneCount - waiting.size);
    if (lacksCapacity(step, capacity, monotonic)) recordUnplaced(load, step);
  }
  const candidate = { job, step: first, isStarved: false };
  const feasibility = deadlineFeasibilityOf(candidate, estimates, now);
  const density = utility / Math.max(MIN_WORK, unplaced);
  const bucket = densityBucketOf(REMAINING_UTILITY[feasibility] * density);
  const work = unplaced + PLACED_WORK_LEFT * placed;
  load.buckets.set(bucket, (load.buckets.get(bucket) ?? 0) + work);
};

const addRunningWork = (
  pending: PendingLoads,
  { allHosts, serviceOf, estimates }: LoadInputs,
): void => {
  for (const { runs } of allHosts) {
    for (const { task, progressPercent } of runs.values()) {
      const { step } = task;
      if (step.spec.lasting) continue;
      const load = pending.get(serviceOf(step.job));
      const own = load?.get(step.job.terms.priority);
      const share = Math.min(100, progressPercent) / 100;
      if (own) own.runningWork += share * taskWorkOf(step, estimates);
    }
  }
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
      runningWork: 0,
      unplacedPlain: Infinity,
      unplacedFilling: Infinity,
    };
    byPriority.set(priority, load);
  }
  return load;
};

/** Core-milliseconds of one task of the step. */
const taskWorkOf = (step: StepRun, estimates: RuntimeEstimator): number =>
  (estimates.taskMs(step) * step.spec.demand.milliCores) / MILLI_CORES_PER_CORE;

const recordUnplaced = (load: PendingLoad, { spec }: StepRun): void => {
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
  hosts: readonly HostUse[],
  { meter, monotonic }: LoadInputs,
): PriorityLoad => {
  const unplaced = smallestUnplaced(byPriority, priority);
  const holdsLessUrgent = hosts.some(({ byPriority: uses }) =>
    uses.some((use) => use.priority > priority),
  );
  // While less urgent work holds hosts, waiting for them is no lack of capacity.
  const unplacedPlain = holdsLessUrgent ? Infinity : unplaced.plain;
  const isSaturated = Math.min(unplacedPlain, unplaced.filling) < Infinity;
  const { runningWork } = load;
  const sample = { runningWork, isSaturated };
  meter.recordSample(service, priority, sample, monotonic);
  return {
    priority,
    plain: limitTo(freeFor(hosts, priority, "plain"), unplacedPlain),
    filling: limitTo(freeFor(hosts, priority, "filling"), unplaced.filling),
    pending: [...load.buckets],
    ...meter.measure(service, priority, monotonic),
  };
};

/** Smallest demands that lack capacity, of this priority and all more urgent ones. */
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

/** @param unplaced smallest demand that lacks capacity */
const limitTo = (free: FreeCapacity, unplaced: number): FreeCapacity =>
  free.largestMilliCores < unplaced
    ? free
    : { ...free, largestMilliCores: Math.max(0, unplaced - 1) };

/** Millicores of the placed tasks of one priority on a host. */
interface PriorityUse {
  readonly priority: number;
  plain: number;
  filling: number;
}

/** Millicores of a host, and what its tasks hold. */
interface HostUse {
  readonly milliCores: number;
  /** Serving tasks reserve cores against plain tasks only. */
  serving: number;
  /** Other lasting tasks. */
  lasting: number;
  readonly byPriority: readonly PriorityUse[];
}

const useOf = ({ worker, runs }: HostState): HostUse => {
  const byPriority: PriorityUse[] = [];
  let serving = 0;
  let lasting = 0;
  for (const { task } of runs.values()) {
    const { spec, job } = task.step;
    const { milliCores } = spec.demand;
    if (spec.lasting) {
      if (spec.tailTargetMs > 0) serving += milliCores;
      else lasting += milliCores;
      continue;
    }
    const { priority } = job.terms;
    let use = byPriority.find((each) => each.priority === priority);
    if (!use) byPriority.push((use = { priority, plain: 0, filling: 0 }));
    use[spec.filling ? "filling" : "plain"] += milliCores;
  }
  return { milliCores: worker.milliCores, serving, lasting, byPriority };
};

/**
 * Capacity that is not in use by work of this priority or more urgent ones. What serving
 * tasks reserve is closed to plain tasks, but filling tasks may use what is idle of it.
 * Filling tasks hold nothing that plain tasks could not have.
 */
const freeFor = (
  hosts: readonly HostUse[],
  priority: number,
  kind: "plain" | "filling",
): FreeCapacity => {
  let freeMilliCores = 0;
  let largestMilliCores = 0;
  for (const { milliCores, serving, lasting, byPriority } of hosts) {
    let free = milliCores - lasting - (kind === "plain" ? serving : 0);
    for (const use of byPriority) {
      if (use.priority > priority) continue;
      free -= use.plain + (kind === "filling" ? use.filling : 0);
    }
    const left = Math.max(0, free);
    freeMilliCores += left;
    largestMilliCores = Math.max(largestMilliCores, left);
  }
  return { freeMilliCores, largestMilliCores };
};
