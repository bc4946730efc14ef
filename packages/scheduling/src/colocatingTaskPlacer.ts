/**
 * Packs serving tasks on few hosts, those of one image together. Filling tasks may use
 * resources that serving tasks reserve and leave unused, on the hosts where their learned
 * interference is least. Plain tasks go to the hosts with the most free resources.
 */

import { MILLI_CORES_PER_CORE } from "@rackspan/common";
import {
  interferenceProfileOf,
  type HostState,
  type JobTask,
} from "@rackspan/jobs";
import { assignFilling } from "./FillingAssignment.js";
import { hostsWithReserve } from "./plainReserve.js";
import type { SchedulingPolicy } from "./policy.js";
import type { RuntimeEstimator } from "./RuntimeEstimator.js";
import { slownessPenalty } from "./slowHosts.js";
import type { TailForecast } from "./TailForecast.js";
import {
  pickByScore,
  taskPlacers,
  unreservedMilliCores,
  type FillingPlacement,
  type PlacerRefusal,
  type TaskPlacer,
  type TaskPlacerOptions,
} from "./taskPlacers.js";

const COLOCATION = {
  /** Assumed use of a serving task as a share of its reservation, including peaks. */
  assumedServingUse: 0.6,
  /** A filling task is started if at least this share of its demand is available. */
  minFillShare: 0.7,
  /** Score penalty of hosts with serving tasks, for filling tasks. */
  servingPenalty: 0.2,
  /**
   * Score bonus of hosts with serving tasks, for serving tasks: filling tasks run at full
   * pace only on hosts without any. Less than `avoidedPenalty`.
   */
  usedHostBonus: 5,
  /** Limit of the score penalty for filling tasks that would disturb: they end soon. */
  maxExcess: 1,
  /** Score bonus per host's capacity of serving tasks that are placed there already. */
  packedBonus: 2,
  /** Score bonus of hosts that serve only this image. */
  sameImageBonus: 3,
  /**
   * Share of its processors by which a host without serving tasks may be overcommitted
   * with filling tasks: they disturb nothing there and seldom use all of their demand.
   */
  freeHostExcess: 0.6,
  /**
   * Score penalty per unit of the expected increase of the tail's logarithm, where 0.1
   * means that the tail is a tenth longer.
   */
  tailPenalty: 0.6,
  /**
   * Score penalty of hosts with tasks that would be disturbed too much, if the task
   * must be placed.
   */
  disturbedPenalty: 5,
  /**
   * Score penalty per unit by which the logarithms of tails would exceed the limit, if
   * the task must be placed. It outweighs the free processor time of a whole host, since
   * the emptiest host may have the tails closest to their limit.
   */
  excessPenalty: 5,
  /** Score bonus of hosts on the rack that holds the step's data. */
  dataRackBonus: 0.3,
  /** Score penalty of hosts on which the task failed before. */
  avoidedPenalty: 10,
} as const;

/**
 * Returns the processor time that filling tasks can be expected to get, thousandths of
 * a core.
 */
const fillableMilliCores = ({ worker, allocated }: HostState): number =>
  worker.milliCores -
  allocated.plainMilliCores -
  COLOCATION.assumedServingUse * allocated.servingMilliCores -
  allocated.fillingMilliCores;

export class ColocatingTaskPlacer implements TaskPlacer {
  private readonly forecast: TailForecast;
  private readonly estimates: RuntimeEstimator;
  private readonly policy: SchedulingPolicy;

  constructor({ forecast, estimates, policy }: TaskPlacerOptions) {
    this.forecast = forecast;
    this.estimates = estimates;
    this.policy = policy;
  }

  pick(
    task: JobTask,
    hosts: readonly HostState[],
    mustPlace: boolean,
  ): HostState | undefined {
    const extra = (host: HostState): number => bonusOf(task, host);
    switch (interferenceProfileOf(task).kind) {
      case "serving": {
        const largest = mostMilliCores(hosts);
        return pickByScore(
          task,
          mustPlace ? hosts : hostsWithReserve(task, hosts),
          (host) => this.servingScore(task, host, largest) + extra(host),
        );
      }
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

  refusalOf(
    task: JobTask,
    host: HostState,
    hosts: readonly HostState[],
  ): PlacerRefusal | undefined {
    switch (interferenceProfileOf(task).kind) {
      case "serving":
        return hostsWithReserve(task, hosts).includes(host)
          ? undefined
          : "plain-reserve";
      case "filling":
        if (!this.isWorthFilling(task, host)) return "idle-cores";
        return this.tailRefusalOf(task, host);
      case "plain":
        return undefined;
    }
  }

  assignFilling(
    tasks: readonly JobTask[],
    hosts: readonly HostState[],
  ): readonly FillingPlacement[] {
    return assignFilling(tasks, hosts, {
      forecast: this.forecast,
      bonusOf,
      minFillShare: COLOCATION.minFillShare,
      servingPenalty: COLOCATION.servingPenalty,
      runMsOf: ({ step }) => this.estimates.taskMs(step),
      viewOf: (host) => ({
        fillableMilliCores: fillableMilliCores(host),
        excessMilliCores: this.excessMilliCores(host),
      }),
    });
  }

  /**
   * Prefers hosts that serve only this image, then those with the most serving tasks
   * and the least interference. Of the hosts without serving tasks the largest comes
   * first: it leaves the fewest others to be used.
   *
   * @param largest processors of the largest host, thousandths of a core
   */
  private servingScore(
    task: JobTask,
    host: HostState,
    largest: number,
  ): number {
    const { image } = task.step.spec;
    const { worker, allocated } = host;
    const packedShare = allocated.servingMilliCores / worker.milliCores;
    const excess = this.forecast.excessOverLimit(host, image);
    if (!this.policy.packsServing) return -packedShare - excess;
    const penalty = Math.min(excess, COLOCATION.maxExcess);
    if (allocated.servingMilliCores === 0)
      return worker.milliCores / largest - penalty;
    const { usedHostBonus, packedBonus, sameImageBonus } = COLOCATION;
    const imageBonus = host.servesOnly(image) ? sameImageBonus : 0;
    return usedHostBonus + packedBonus * packedShare + imageBonus - penalty;
  }

  private isWorthFilling(task: JobTask, host: HostState): boolean {
    const minMilliCores =
      COLOCATION.minFillShare * task.step.spec.demand.milliCores;
    return (
      fillableMilliCores(host) + this.excessMilliCores(host) >= minMilliCores
    );
  }

  /** Returns by how much the host may be overcommitted, thousandths of a core. */
  private excessMilliCores(host: HostState): number {
    const isFree = host.allocated.servingMilliCores === 0;
    return isFree && this.policy.overfillsFreeHosts
      ? COLOCATION.freeHostExcess * host.worker.milliCores
      : 0;
  }

  private tailRefusalOf(
    { step }: JobTask,
    host: HostState,
  ): PlacerRefusal | undefined {
    const { image, demand } = step.spec;
    const cores = demand.milliCores / MILLI_CORES_PER_CORE;
    const runMs = this.estimates.taskMs(step);
    return this.forecast.refusalOf(host, image, cores, runMs);
  }

  /** @returns -Infinity if a serving task would be disturbed too much */
  private fillingScore(
    task: JobTask,
    host: HostState,
    mustPlace: boolean,
  ): number {
    const { image, demand } = task.step.spec;
    const left = fillableMilliCores(host) / host.worker.milliCores;
    if (host.allocated.servingMilliCores === 0) return left;
    const cores = demand.milliCores / MILLI_CORES_PER_CORE;
    const runMs = this.estimates.taskMs(task.step);
    const added = this.forecast.maxAddedTail(host, image, cores, runMs);
    if (added === undefined) {
      if (!mustPlace) return -Infinity;
      const score = left - COLOCATION.disturbedPenalty;
      if (!this.policy.forecastsServingLoad) return score;
      const excess = this.forecast.totalExcess(host, image, cores, runMs);
      return score - COLOCATION.excessPenalty * excess;
    }
    return left - COLOCATION.servingPenalty - COLOCATION.tailPenalty * added;
  }
}

const bonusOf = (task: JobTask, host: HostState): number => {
  const { dataRack } = task.step.spec;
  const isNear = dataRack !== "" && host.worker.rack === dataRack;
  const isAvoided = task.avoidedHosts.includes(host.host);
  return (
    (isNear ? COLOCATION.dataRackBonus : 0) -
    slownessPenalty(host) -
    (isAvoided ? COLOCATION.avoidedPenalty : 0)
  );
};

const mostMilliCores = (hosts: readonly HostState[]): number =>
  hosts.reduce((most, { worker }) => Math.max(most, worker.milliCores), 0);

const plainScore = (host: HostState): number =>
  (unreservedMilliCores(host) - host.allocated.fillingMilliCores) /
  host.worker.milliCores;

taskPlacers.register({
  name: "colocating",
  create: (options) => new ColocatingTaskPlacer(options),
});
