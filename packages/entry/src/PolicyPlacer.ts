/** Reorders the hosts that a placer ranked by the operators' score policies. */

import type { HostView, Placer } from "@rackspan/jobs";
import type { PolicyEvaluator, VariablesOf } from "@rackspan/policies";
import type { Unit } from "@rackspan/state";

const tasksOf = ({ tasks }: HostView, kind: string): number =>
  tasks.filter((task) => task.kind === kind && task.state !== "ended").length;

const variablesOf = ({ spec }: Unit, host: HostView): VariablesOf<"score"> => ({
  kind: spec.kind,
  team: spec.team,
  priority: spec.priority,
  processors: spec.resources.processors,
  memoryMiB: spec.resources.memoryMiB,
  accelerators: spec.resources.accelerators,
  host: host.host,
  availabilityZone: host.availabilityZone,
  rack: host.rack,
  freeProcessorShare:
    host.free.processors / Math.max(1, host.capacity.processors),
  freeMemoryShare: host.free.memoryMiB / Math.max(1, host.capacity.memoryMiB),
  serviceTasks: tasksOf(host, "service"),
  jobTasks: tasksOf(host, "job"),
  workerTasks: tasksOf(host, "worker"),
});

export class PolicyPlacer implements Placer {
  constructor(
    private readonly base: Placer,
    private readonly policies: PolicyEvaluator,
  ) {}

  /** Hosts with equal penalty keep the order of the placer. */
  rank(unit: Unit, hosts: readonly HostView[]): readonly HostView[] {
    const ranked = this.base.rank(unit, hosts);
    if (!this.policies.has("score")) return ranked;
    return ranked
      .map((host) => ({
        host,
        penalty: this.policies.totalPenalty(variablesOf(unit, host)),
      }))
      .sort((a, b) => a.penalty - b.penalty)
      .map(({ host }) => host);
  }
}
