/** Builds the parts of a side around one worker; tests specify only the options they need. */

import {
  ManualClock,
  Metrics,
  silentLogger,
  type WorkerInstance,
} from "@rackspan/common";
import type { TaskHost } from "@rackspan/ports";
import {
  Pacer,
  TaskOrderHandler,
  WorkerRegistry,
  WorkerPoller,
} from "@rackspan/side";
import { createHeartbeat } from "./createHeartbeat.js";

export interface SideOptions {
  /** The fake worker. */
  readonly host: TaskHost;
  readonly clock?: ManualClock;
  /** Incarnations whose heartbeats arrived before, in order. */
  readonly registered?: readonly (string | WorkerInstance)[];
  /** Milliseconds; see WorkerPollerOptions. */
  readonly unattendedLeaseMs?: number;
  /** Milliseconds; see WorkerPollerOptions. */
  readonly longestLeaseMs?: number;
}

export const buildSide = ({
  host,
  clock = new ManualClock(),
  registered = [],
  unattendedLeaseMs = Infinity,
  longestLeaseMs = 10_000,
}: SideOptions) => {
  const base = {
    host,
    clock,
    logger: silentLogger,
    metrics: new Metrics(),
  };
  const pacer = new Pacer({ ...base, tailGraceMs: 4_000, tailAim: 0.9 });
  const registry = new WorkerRegistry(clock, silentLogger);
  for (const instance of registered)
    registry.recordHeartbeat(createHeartbeat(instance));
  const poller = new WorkerPoller({
    ...base,
    registry,
    pacer,
    unattendedLeaseMs,
    longestLeaseMs,
  });
  const orders = new TaskOrderHandler({ ...base, registry, poller, pacer });
  /** Stops the poller once its current poll is over. */
  const stop = async (): Promise<void> => {
    const stopped = poller.stop();
    await clock.advance(2_000);
    await stopped;
  };
  return { clock, registry, poller, orders, stop };
};
