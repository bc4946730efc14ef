/** Plug-in point for the listener that receives the heartbeats of the worker on this host. */

import { Registry, type Logger } from "@rackspan/common";
import type { WorkerRegistry } from "./WorkerRegistry.js";

export interface WorkerInbox {
  start(): Promise<void>;
  stop(): Promise<void>;
}

export interface WorkerInboxOptions {
  readonly address: string;
  readonly port: number;
  readonly registry: WorkerRegistry;
  readonly logger: Logger;
}

export const workerInboxes = new Registry<WorkerInboxOptions, WorkerInbox>(
  "listener for workers",
);
