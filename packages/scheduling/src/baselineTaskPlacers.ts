/** Baselines to compare with: first fit, best fit and least loaded, by room alone. */

import type { HostLedger, JobTask } from "@rackspan/jobs";
import {
  pickByScore,
  taskPlacers,
  unreservedMilliCores,
  type TaskPlacer,
} from "./taskPlacers.js";

class ScorePlacer implements TaskPlacer {
  constructor(private readonly score: (host: HostLedger) => number) {}

  pick(task: JobTask, hosts: readonly HostLedger[]): HostLedger | undefined {
    return pickByScore(task, hosts, this.score);
  }
}

const freeMilliCores = (host: HostLedger): number =>
  unreservedMilliCores(host) - host.room.fillingMilliCores;

taskPlacers.register({
  name: "firstFit",
  create: () => new ScorePlacer(() => 0),
});
taskPlacers.register({
  name: "bestFit",
  create: () => new ScorePlacer((host) => -freeMilliCores(host)),
});
taskPlacers.register({
  name: "leastLoaded",
  create: () => new ScorePlacer(freeMilliCores),
});
