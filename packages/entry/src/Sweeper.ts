/**
 * Runs the control of units whenever something it depends on has changed, and
 * at the latest after a fixed time.
 */

import {
  ChangeSignal,
  describeError,
  sleep,
  type Clock,
  type HostId,
  type Logger,
} from "@rackspan/common";
import type { ClaimKeeper, HostCertifier, UnitPlacer } from "@rackspan/jobs";
import type { Fold, LogFollower } from "@rackspan/state";
import type { HostListWatcher } from "./HostListWatcher.js";
import type { SideDirectory } from "./SideDirectory.js";

export interface SweeperOptions {
  readonly fold: Fold;
  readonly follower: LogFollower;
  readonly sides: SideDirectory;
  readonly hostList: HostListWatcher;
  readonly placer: UnitPlacer;
  readonly keeper: ClaimKeeper;
  readonly certifier: HostCertifier;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly everyMs: number;
}

/** Changes that come close together are dealt with in one sweep. */
const GATHER_MS = 5;

export class Sweeper {
  private readonly changed = new ChangeSignal();
  private isDirty = true;
  private readonly draining = new Set<HostId>();

  constructor(private readonly options: SweeperOptions) {
    const { fold, sides, hostList, certifier, follower } = options;
    fold.applied.on(() => this.markDirty());
    sides.changed.on(() => this.markDirty());
    hostList.read.on((records) => {
      if (follower.caughtUp) certifier.sweep(records);
      for (const { host, state } of records) {
        if (state === "leaving") this.drainOnce(host);
        else this.draining.delete(host);
      }
    });
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock, everyMs, follower, placer, keeper } = this.options;
    while (!signal.aborted) {
      if (!this.isDirty) await this.changed.wait(clock, everyMs);
      await sleep(clock, GATHER_MS);
      this.isDirty = false;
      // A fold that is behind would act on what is long over.
      if (!follower.caughtUp || follower.fault || signal.aborted) continue;
      keeper.sweep();
      placer.sweep();
    }
  }

  private markDirty(): void {
    this.isDirty = true;
    this.changed.notify();
  }

  /** The host list says that the host is leaving: its tasks move in time. */
  private drainOnce(host: HostId): void {
    const { sides, logger } = this.options;
    const side = sides.get(host);
    if (!side || this.draining.has(host)) return;
    this.draining.add(host);
    side.drain().catch((err: unknown) => {
      this.draining.delete(host);
      logger.warn("host.drain-failed", { host, error: describeError(err) });
    });
  }
}
