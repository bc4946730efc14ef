/**
 * Runs the steps that control units (drain, claim, place) whenever an input has changed,
 * and at least once in each fixed interval.
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
  readonly claimReconciler: ClaimReconciler;
  readonly certifier: HostCertifier;
  readonly drainer: HostDrainer;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly intervalMs: number;
}

/** Changes within this time are handled together. */
const DEBOUNCE_MS = 5;

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
    const {
      clock,
      intervalMs,
      follower,
      placer,
      claimReconciler,
      drainer,
      hostList,
    } = this.options;
    while (!signal.aborted) {
      if (!this.isDirty) await this.changed.wait(clock, intervalMs);
      await sleep(clock, DEBOUNCE_MS);
      this.isDirty = false;
      // While the fold lags behind the log, it would act on outdated state.
      if (!follower.caughtUp || follower.fault || signal.aborted) continue;
      drainer.sweep(hostList.latest);
      claimReconciler.sweep();
      placer.sweep();
    }
  }

  private markDirty(): void {
    this.isDirty = true;
    this.changed.notify();
  }
}
