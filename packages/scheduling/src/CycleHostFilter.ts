/** Which hosts tasks keep off in one pass, although they have room: for suspects, and for lasting tasks. */

import type { Clock, Monotonic } from "@rackspan/common";
import type { HostState, StepRun } from "@rackspan/jobs";
import { ENGINE } from "./engineTypes.js";

export class CycleHostFilter {
  /** Emptied for a lasting task: plain ones keep off them. */
  private readonly emptying = new Set<HostState>();

  constructor(private readonly clock: Clock) {}

  /** A pass begins. */
  startCycle(): void {
    this.emptying.clear();
  }

  /**
   * All tasks keep off hosts where a suspected one has just begun, plain ones also
   * off those that are being emptied for a lasting one.
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
   * Lasting tasks are large: room for one comes only when the plain tasks of a
   * host end and no others take their place.
   */
  recordUnplaced(step: StepRun, hosts: readonly HostState[]): void {
    const now = this.clock.monotonic();
    step.unplacedSince ??= now;
    if (!isOverdueLasting(step, now)) return;
    const { demand } = step.spec;
    const withoutPlain = hosts.filter(
      ({ worker, allocated: room }) =>
        worker.milliCores - room.servingMilliCores >= demand.milliCores &&
        worker.memoryMiB - room.memoryMiB >= demand.memoryMiB,
    );
    const [emptiest] = withoutPlain.sort(
      (a, b) => a.allocated.plainMilliCores - b.allocated.plainMilliCores,
    );
    if (emptiest) this.emptying.add(emptiest);
  }
}

/**
 * Whether a lasting step has found no place for so long that it may take what is kept
 * for others, and tries hosts that failed others of late: ejections may last for longer
 * than it is to stand still.
 */
export const isOverdueLasting = (
  { spec, unplacedSince }: StepRun,
  now: Monotonic,
): boolean =>
  spec.lasting &&
  unplacedSince !== undefined &&
  now - unplacedSince > ENGINE.lastingGraceMs;
