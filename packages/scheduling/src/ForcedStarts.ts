/**
 * Limits how many filling tasks run on hosts that placement refuses them. A job that has
 * nothing running may start one task so. Beside serving tasks that it disturbs, the task
 * is soon paced down to a crawl, keeps its host closed to tasks that would disturb less,
 * and is moved to the next host. On a host without serving tasks, which is full then, it
 * slows down all others.
 */

import type { HostState, JobTask } from "@rackspan/jobs";
import type { HostRegistry } from "./HostRegistry.js";

const FORCED = {
  /** Share of a service's hosts that may have such tasks at a time; at least one may. */
  maxHostShare: 0.1,
  /**
   * Without a limit below this share of a service's processors that serving tasks reserve:
   * as long as half of its service is free, a job must have something running.
   */
  minReservedShare: 0.5,
} as const;

export class ForcedStarts {
  /** Tasks that were started so; may include some that have ended since. */
  private readonly tasks = new Set<JobTask>();

  constructor(private readonly registry: HostRegistry) {}

  record(task: JobTask): void {
    this.tasks.add(task);
  }

  /** @param hosts hosts of one service */
  mayStart(hosts: readonly HostState[]): boolean {
    if (reservedShare(hosts) < FORCED.minReservedShare) return true;
    const max = Math.max(1, Math.floor(FORCED.maxHostShare * hosts.length));
    return this.countOn(hosts) < max;
  }

  private countOn(hosts: readonly HostState[]): number {
    let count = 0;
    for (const task of this.tasks) {
      const placement = this.registry.placementOf(task);
      if (!placement) this.tasks.delete(task);
      else if (hosts.includes(placement.host.hostState)) count += 1;
    }
    return count;
  }
}

const reservedShare = (hosts: readonly HostState[]): number => {
  let [reserved, total] = [0, 0];
  for (const { worker, allocated } of hosts) {
    total += worker.milliCores;
    reserved += allocated.servingMilliCores;
  }
  return total > 0 ? reserved / total : 0;
};
