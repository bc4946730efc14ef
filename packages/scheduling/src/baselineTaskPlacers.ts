/**
 * Baselines for comparison that consider free resources alone: first fit, best fit and
 * least loaded.
 */

import type { HostState, JobTask } from "@rackspan/jobs";
import {
  pickByScore,
  taskPlacers,
  unreservedMilliCores,
  type TaskPlacer,
} from "./taskPlacers.js";

class ScorePlacer implements TaskPlacer {
  constructor(private readonly score: (host: HostState) => number) {}

  pick(task: JobTask, hosts: readonly HostState[]): HostState | undefined {
    return pickByScore(task, hosts, this.score);
  }
}

const freeMilliCores = (host: HostState): number =>
  unreservedMilliCores(host) - host.allocated.fillingMilliCores;

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
