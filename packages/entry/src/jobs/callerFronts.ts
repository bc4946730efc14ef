/** Plug-in point for the listener that accepts the requests of callers. */

import {
  Registry,
  type Clock,
  type ListenAddress,
  type Logger,
  type Metrics,
} from "@rackspan/common";
import type { JobRequests } from "./JobService.js";

export interface CallerFront {
  start(): Promise<void>;
  /** Stops accepting connections, and resolves once open requests are answered. */
  drain(graceMs: number): Promise<void>;
  stop(): Promise<void>;
}

export interface CallerFrontOptions {
  readonly listen: ListenAddress;
  /** Address of the readiness probe, which says whether this entry accepts callers. */
  readonly readiness: ListenAddress;
  readonly isReady: () => boolean;
  readonly jobService: JobRequests;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

export const callerFronts = new Registry<CallerFrontOptions, CallerFront>(
  "listener for callers",
);
