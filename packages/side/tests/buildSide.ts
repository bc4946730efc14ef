/** Builds the parts of a side around one worker; tests specify only the options they need. */

import {
  ManualClock,
  Metrics,
  silentLogger,
  type WorkerInstance,
} from "@rackspan/common";
import type { TaskHost } from "@rackspan/ports";
import { Pacer, TaskOrders, WorkerRegistry, WorkerWatch } from "@rackspan/side";
import { createHeartbeat } from "./createHeartbeat.js";

export interface SideOptions {
  /** The fake worker. */
  readonly host: TaskHost;
  readonly clock?: ManualClock;
  /** Incarnations whose heartbeats arrived before, in order. */
  readonly heard?: readonly (string | WorkerInstance)[];
  /** Milliseconds; see WorkerWatchOptions. */
  readonly unattendedLeaseMs?: number;
  /** Milliseconds; see WorkerWatchOptions. */
  readonly longestLeaseMs?: number;
}

export const buildSide = ({
  host,
  clock = new ManualClock(),
  heard = [],
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
  for (const life of heard) registry.recordHeartbeat(createHeartbeat(life));
  const watch = new WorkerWatch({
    ...base,
    registry,
    pacer,
    unattendedLeaseMs,
    longestLeaseMs,
  });
  const orders = new TaskOrders({ ...base, registry, poller: watch, pacer });
  /** Stops the poller once its current poll is over. */
  const stop = async (): Promise<void> => {
    const stopped = watch.stop();
    await clock.advance(2_000);
    await stopped;
  };
  return { clock, registry, watch, orders, stop };
};
