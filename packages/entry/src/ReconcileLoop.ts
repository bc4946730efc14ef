/**
 * Runs the control of units whenever something it depends on has changed, and
 * at the latest after a fixed time.
 */

import { ChangeSignal, sleep, type Clock, type Logger } from "@rackspan/common";
import type {
  ClaimReconciler,
  HostCertifier,
  HostDrainer,
  UnitPlacer,
} from "@rackspan/jobs";
import type { Fold, LogFollower } from "@rackspan/state";
import type { HostListWatcher } from "./HostListWatcher.js";
import type { SideDirectory } from "./SideDirectory.js";

export interface ReconcileLoopOptions {
  readonly fold: Fold;
  readonly follower: LogFollower;
  readonly sides: SideDirectory;
  readonly hostList: HostListWatcher;
  readonly placer: UnitPlacer;
  readonly keeper: ClaimReconciler;
  readonly certifier: HostCertifier;
  readonly drainer: HostDrainer;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly everyMs: number;
}

/** Changes that come close together are handled in one sweep. */
const GATHER_MS = 5;

export class ReconcileLoop {
  private readonly changed = new ChangeSignal();
  private isDirty = true;

  constructor(private readonly options: ReconcileLoopOptions) {
    const { fold, sides, hostList, certifier, follower } = options;
    fold.applied.on(() => this.markDirty());
    sides.changed.on(() => this.markDirty());
    hostList.updated.on((records) => {
      if (follower.caughtUp) certifier.sweep(records);
      this.markDirty();
    });
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock, everyMs, follower, placer, keeper, drainer, hostList } =
      this.options;
    while (!signal.aborted) {
      if (!this.isDirty) await this.changed.wait(clock, everyMs);
      await sleep(clock, GATHER_MS);
      this.isDirty = false;
      // A fold that is behind would act on what is long over.
      if (!follower.caughtUp || follower.fault || signal.aborted) continue;
      drainer.sweep(hostList.latest);
      keeper.sweep();
      placer.sweep();
    }
  }

  private markDirty(): void {
    this.isDirty = true;
    this.changed.notify();
  }
}
