/**
 * Plug-in points for clients of the store and of the workers that
 * run the tasks of jobs.
 */

import { Registry } from "@rackspan/common";
import type { GroupMembership, RecordStore } from "./recordStore.js";
import type { TaskHost } from "./taskHost.js";

export interface StoreClientOptions {
  /** `IP:PORT`. */
  readonly address: string;
}

export type StoreClient = RecordStore & GroupMembership & { close(): void };

export const storeClients = new Registry<StoreClientOptions, StoreClient>(
  "store client",
);

export interface TaskHostClientOptions {
  /** `IP:PORT` of the worker. */
  readonly address: string;
  /** Milliseconds without an answer after which a call fails. */
  readonly callTimeoutMs: number;
}

export const taskHostClients = new Registry<TaskHostClientOptions, TaskHost>(
  "client of workers",
);
