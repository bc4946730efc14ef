/**
 * Keeps serving tasks together on few hosts and fills the others first, so that
 * few serving tasks are disturbed. Filling tasks may take what serving tasks
 * reserve and leave unused. Plain tasks go where most is left.
 */

import { natureOf, type HostLedger, type JobTask } from "@rackspan/jobs";
import {
  pickByScore,
  taskPlacers,
  unreservedMilliCores,
  type TaskPlacer,
} from "./taskPlacers.js";

const COLOCATION = {
  /** Share of its reservation that a serving task is taken to use, swings included. */
  servingUse: 0.6,
  /** A filling task is started when at least this share of its demand is left. */
  leastFillShare: 0.7,
  /** Share of a host that serving tasks leave to urgent plain ones. */
  plainReserve: 0.08,
  /** Points by which a host with serving tasks comes later for filling ones. */
  servingPenalty: 0.5,
  /** Points by which a host on the rack of the step's data comes first. */
  dataRackBonus: 0.3,
  /** Points by which a host where the task failed before comes later. */
  avoidedPenalty: 10,
} as const;

/** Thousandths of a core that filling tasks can be expected to get. */
export const fillableMilliCores = ({ worker, room }: HostLedger): number =>
  worker.milliCores -
  room.plainMilliCores -
  COLOCATION.servingUse * room.servingMilliCores -
  room.fillingMilliCores;

export class ColocatingTaskPlacer implements TaskPlacer {
  pick(task: JobTask, hosts: readonly HostLedger[]): HostLedger | undefined {
    const extra = (host: HostLedger): number => bonusOf(task, host);
    switch (natureOf(task).kind) {
      case "serving":
        return pickByScore(
          task,
          hosts.filter((host) => leavesReserve(task, host)),
          (host) => servingScore(host) + extra(host),
        );
      case "filling":
        return pickByScore(
          task,
          hosts.filter((host) => isWorthFilling(task, host)),
          (host) => fillingScore(host) + extra(host),
        );
      case "plain":
        return pickByScore(
          task,
          hosts,
          (host) => plainScore(host) + extra(host),
        );
    }
  }
}

const bonusOf = (task: JobTask, host: HostLedger): number => {
  const { dataRack } = task.step.spec;
  const near = dataRack !== "" && host.worker.labels.includes(dataRack);
  const avoided = task.avoid.includes(host.host);
  return (
    (near ? COLOCATION.dataRackBonus : 0) -
    (avoided ? COLOCATION.avoidedPenalty : 0)
  );
};

const leavesReserve = (task: JobTask, host: HostLedger): boolean => {
  const { milliCores } = task.step.spec.demand;
  const reserve = COLOCATION.plainReserve * host.worker.milliCores;
  return (
    host.room.servingMilliCores + milliCores + reserve <= host.worker.milliCores
  );
};

/** The most serving work first; among empty hosts the least filled one. */
const servingScore = ({ worker, room }: HostLedger): number =>
  (room.servingMilliCores * 2 - room.fillingMilliCores) / worker.milliCores;

const isWorthFilling = (task: JobTask, host: HostLedger): boolean =>
  fillableMilliCores(host) >=
  COLOCATION.leastFillShare * task.step.spec.demand.milliCores;

const fillingScore = (host: HostLedger): number => {
  const serves = host.room.servingMilliCores > 0;
  const left = fillableMilliCores(host) / host.worker.milliCores;
  return left - (serves ? COLOCATION.servingPenalty : 0);
};

const plainScore = (host: HostLedger): number =>
  (unreservedMilliCores(host) - host.room.fillingMilliCores) /
  host.worker.milliCores;

taskPlacers.register({
  name: "colocating",
  create: () => new ColocatingTaskPlacer(),
});
