/** Places tasks on the hosts that were chosen for them before they waited. */

import type { Clock, Monotonic } from "@rackspan/common";
import type { HostState, JobTask } from "@rackspan/jobs";
import {
  fitsInto,
  freeCapacityOf,
  isAllowedOn,
  type FillingPlacement,
  type PlacerRefusal,
  type TaskPlacer,
} from "./taskPlacers.js";

/** A choice is void after this time, milliseconds: it rests on the state of the hosts then. */
const VALID_MS = 4_000;

interface Target {
  readonly host: HostState;
  readonly chosenAt: Monotonic;
}

export class TargetedTaskPlacer implements TaskPlacer {
  private readonly targets = new Map<JobTask, Target>();

  /** @param placer places the tasks for which no host is chosen */
  constructor(
    private readonly placer: TaskPlacer,
    private readonly clock: Clock,
  ) {}

  /** Chooses the host of the task's next run. */
  choose(task: JobTask, host: HostState): void {
    this.dropVoid();
    this.targets.set(task, { host, chosenAt: this.clock.monotonic() });
  }

  pick(
    task: JobTask,
    hosts: readonly HostState[],
    mustPlace: boolean,
  ): HostState | undefined {
    return (
      this.targetOf(task, hosts) ?? this.placer.pick(task, hosts, mustPlace)
    );
  }

  refusalOf(
    task: JobTask,
    host: HostState,
    hosts: readonly HostState[],
  ): PlacerRefusal | undefined {
    return this.placer.refusalOf?.(task, host, hosts);
  }

  assignFilling(
    tasks: readonly JobTask[],
    hosts: readonly HostState[],
  ): readonly FillingPlacement[] {
    return this.placer.assignFilling?.(tasks, hosts) ?? [];
  }

  /** Returns the chosen host if it is among the given ones and still has room. */
  private targetOf(
    task: JobTask,
    hosts: readonly HostState[],
  ): HostState | undefined {
    const target = this.targets.get(task);
    if (!target || this.isVoid(target)) return undefined;
    const { host } = target;
    if (!hosts.includes(host) || !isAllowedOn(task, host)) return undefined;
    return fitsInto(task, freeCapacityOf(host)) ? host : undefined;
  }

  private dropVoid(): void {
    for (const [task, target] of this.targets)
      if (this.isVoid(target)) this.targets.delete(task);
  }

  private isVoid({ chosenAt }: Target): boolean {
    return this.clock.monotonic() - chosenAt > VALID_MS;
  }
}
