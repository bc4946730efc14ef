/** Plug-in point for the listener at which callers hand in jobs. */

import {
  Registry,
  type Clock,
  type ListenAddress,
  type Logger,
  type Metrics,
} from "@rackspan/common";
import type { JobService } from "./JobService.js";

export interface CallerFront {
  start(): Promise<void>;
  /** Takes no new connections, and resolves once open requests are answered. */
  drain(graceMs: number): Promise<void>;
  stop(): Promise<void>;
}

export interface CallerFrontOptions {
  readonly listen: ListenAddress;
  /** Where the platform asks whether this entry takes callers. */
  readonly readiness: ListenAddress;
  readonly isReady: () => boolean;
  readonly jobService: JobService;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

export const callerFronts = new Registry<CallerFrontOptions, CallerFront>(
  "listener for callers",
);
