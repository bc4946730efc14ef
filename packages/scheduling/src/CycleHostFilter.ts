/**
 * Excludes hosts with free resources for one scheduling cycle, in favour of suspect
 * tasks and lasting tasks.
 */

import type { Clock, Monotonic } from "@rackspan/common";
import type { HostState, StepRun } from "@rackspan/jobs";
import { ENGINE } from "./engineTypes.js";

export class CycleHostFilter {
  /**
   * Hosts that are being emptied for a lasting task; plain tasks are not placed there.
   */
  private readonly emptying = new Set<HostState>();

  constructor(private readonly clock: Clock) {}

  /** Starts a scheduling cycle. */
  startCycle(): void {
    this.emptying.clear();
  }

  /**
   * Returns the hosts on which tasks of the step may start: none with an isolated run,
   * and for plain tasks none that is being emptied for a lasting task.
   */
  hostsOpenTo(
    { spec }: StepRun,
    hosts: readonly HostState[],
  ): readonly HostState[] {
    const open = hosts.filter((host) => !host.hasIsolatedRun);
    if (spec.lasting || spec.filling || this.emptying.size === 0) return open;
    return open.filter((host) => !this.emptying.has(host));
  }

  /**
   * Records that tasks of the step could not be placed. Lasting tasks are large: a host
   * gets enough free resources only when its plain tasks end and no others start there.
   */
  recordUnplaced(step: StepRun, hosts: readonly HostState[]): void {
    const now = this.clock.monotonic();
    step.unplacedSince ??= now;
    if (!isOverdueLasting(step, now)) return;
    const { demand } = step.spec;
    const withoutPlain = hosts.filter(
      ({ worker, allocated }) =>
        worker.milliCores - allocated.servingMilliCores >= demand.milliCores &&
        worker.memoryMiB - allocated.memoryMiB >= demand.memoryMiB,
    );
    const [emptiest] = withoutPlain.sort(
      (a, b) => a.allocated.plainMilliCores - b.allocated.plainMilliCores,
    );
    if (emptiest) this.emptying.add(emptiest);
  }
}

/**
 * Whether a lasting step could not be placed for so long that it may use resources that
 * are reserved for others, and ejected hosts: an ejection may last longer than the step
 * may be without a run.
 */
export const isOverdueLasting = (
  { spec, unplacedSince }: StepRun,
  now: Monotonic,
): boolean =>
  spec.lasting &&
  unplacedSince !== undefined &&
  now - unplacedSince > ENGINE.lastingGraceMs;
