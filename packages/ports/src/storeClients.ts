/**
 * Plug-in points for clients of the store and of the workers that
 * run the tasks of jobs.
 */

import { Registry } from "@rackspan/common";
import type {
  GroupMembership,
  RecordLimits,
  RecordStore,
} from "./recordStore.js";
import type { TaskHost } from "./taskHost.js";

export interface StoreClientOptions {
  /** `IP:PORT`. */
  readonly address: string;
  /** Absent for a client that appends no records, or if the platform states none. */
  readonly limits?: RecordLimits;
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
