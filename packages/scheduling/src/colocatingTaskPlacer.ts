/**
 * Keeps serving tasks of one image together, on few hosts. Filling tasks may
 * take what serving tasks reserve and leave unused, but go where they disturb
 * least by what was learnt of the images. Plain tasks go where most is left.
 */

import { MILLI_CORES_PER_CORE } from "@rackspan/common";
import { natureOf, type HostState, type JobTask } from "@rackspan/jobs";
import type { SchedulingPolicy } from "./policy.js";
import { slownessPenalty } from "./slowHosts.js";
import type { TailForecast } from "./TailForecast.js";
import {
  pickByScore,
  taskPlacers,
  unreservedMilliCores,
  type TaskPlacer,
  type TaskPlacerOptions,
} from "./taskPlacers.js";

const COLOCATION = {
  /** Share of its reservation that a serving task is taken to use, swings included. */
  servingUse: 0.6,
  /** A filling task is started when at least this share of its demand is left. */
  leastFillShare: 0.7,
  /** Share of a host that serving tasks leave to urgent plain ones. */
  plainReserve: 0.08,
  /** Points by which a host with serving tasks comes later for filling ones. */
  servingPenalty: 0.2,
  /** Points a host's worth of serving work that stands there already. */
  packedBonus: 2,
  /** Points by which a host that serves this image alone comes first. */
  sameImageBonus: 3,
  /**
   * Share of its processors beyond them up to which a host without serving tasks
   * is filled: filling tasks there disturb nobody and seldom use all they ask
   * for.
   */
  freeHostExcess: 0.6,
  /** Points a unit of expected tail logarithm, of which 0.1 means a tenth longer. */
  tailPenalty: 0.6,
  /** Points by which a host that would be disturbed comes later when it must be. */
  disturbedPenalty: 5,
  /** Points by which a host on the rack of the step's data comes first. */
  dataRackBonus: 0.3,
  /** Points by which a host where the task failed before comes later. */
  avoidedPenalty: 10,
} as const;

/** Thousandths of a core that filling tasks can be expected to get. */
const fillableMilliCores = ({ worker, allocated: room }: HostState): number =>
  worker.milliCores -
  room.plainMilliCores -
  COLOCATION.servingUse * room.servingMilliCores -
  room.fillingMilliCores;

export class ColocatingTaskPlacer implements TaskPlacer {
  private readonly forecast: TailForecast;
  private readonly policy: SchedulingPolicy;

  constructor({ forecast, policy }: TaskPlacerOptions) {
    this.forecast = forecast;
    this.policy = policy;
  }

  pick(
    task: JobTask,
    hosts: readonly HostState[],
    mustPlace: boolean,
  ): HostState | undefined {
    const extra = (host: HostState): number => bonusOf(task, host);
    switch (natureOf(task).kind) {
      case "serving":
        return pickByScore(
          task,
          hosts.filter((host) => mustPlace || leavesReserve(task, host)),
          (host) => this.servingScore(task, host) + extra(host),
        );
      case "filling":
        return pickByScore(
          task,
          hosts.filter((host) => mustPlace || this.isWorthFilling(task, host)),
          (host) => this.fillingScore(task, host, mustPlace) + extra(host),
        );
      case "plain":
        return pickByScore(
          task,
          hosts,
          (host) => plainScore(host) + extra(host),
        );
    }
  }

  /** Its own image first, then the most serving work, and little that disturbs it. */
  private servingScore(task: JobTask, host: HostState): number {
    const { image } = task.step.spec;
    const { worker, allocated: room } = host;
    const packed = room.servingMilliCores / worker.milliCores;
    const bonus = host.servesOnly(image) ? COLOCATION.sameImageBonus : 0;
    const excess = this.forecast.excessOverLimit(host, image);
    if (!this.policy.packsServing) return -packed - excess;
    return COLOCATION.packedBonus * packed + bonus - excess;
  }

  private isWorthFilling(task: JobTask, host: HostState): boolean {
    const isFree = host.allocated.servingMilliCores === 0;
    const excess =
      isFree && this.policy.overfillsFreeHosts
        ? COLOCATION.freeHostExcess * host.worker.milliCores
        : 0;
    const least = COLOCATION.leastFillShare * task.step.spec.demand.milliCores;
    return fillableMilliCores(host) + excess >= least;
  }

  /** @returns -Infinity where a serving task would be disturbed too much */
  private fillingScore(
    task: JobTask,
    host: HostState,
    mustPlace: boolean,
  ): number {
    const { image, demand } = task.step.spec;
    const left = fillableMilliCores(host) / host.worker.milliCores;
    if (host.allocated.servingMilliCores === 0) return left;
    const cores = demand.milliCores / MILLI_CORES_PER_CORE;
    const added = this.forecast.maxAddedTail(host, image, cores);
    if (added === undefined) {
      return mustPlace ? left - COLOCATION.disturbedPenalty : -Infinity;
    }
    return left - COLOCATION.servingPenalty - COLOCATION.tailPenalty * added;
  }
}

const bonusOf = (task: JobTask, host: HostState): number => {
  const { dataRack } = task.step.spec;
  const near = dataRack !== "" && host.worker.rack === dataRack;
  const avoided = task.avoidedHosts.includes(host.host);
  return (
    (near ? COLOCATION.dataRackBonus : 0) -
    slownessPenalty(host) -
    (avoided ? COLOCATION.avoidedPenalty : 0)
  );
};

const leavesReserve = (task: JobTask, host: HostState): boolean => {
  const { milliCores } = task.step.spec.demand;
  const reserve = COLOCATION.plainReserve * host.worker.milliCores;
  const taken = host.allocated.servingMilliCores + milliCores;
  return taken + reserve <= host.worker.milliCores;
};

const plainScore = (host: HostState): number =>
  (unreservedMilliCores(host) - host.allocated.fillingMilliCores) /
  host.worker.milliCores;

taskPlacers.register({
  name: "colocating",
  create: (options) => new ColocatingTaskPlacer(options),
});
