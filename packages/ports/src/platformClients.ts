/**
 * Plug-in points for the platform's three services: a client for another wire
 * format registers itself here and is selected by name in the settings.
 */

import { Registry } from "@rackspan/common";
import type { HostList } from "./hostList.js";
import { HttpHostList } from "./HttpHostList.js";
import { HttpLogService } from "./HttpLogService.js";
import { HttpWorker } from "./HttpWorker.js";
import type { LogService } from "./logService.js";
import type { Worker } from "./worker.js";

export interface ClientOptions {
  readonly url: string;
}

export const logServices = new Registry<ClientOptions, LogService>(
  "log service client",
);
export const hostLists = new Registry<ClientOptions, HostList>(
  "host list client",
);
export const workers = new Registry<ClientOptions, Worker>("worker client");

logServices.register({
  name: "http",
  create: ({ url }) => new HttpLogService(url),
});
hostLists.register({
  name: "http",
  create: ({ url }) => new HttpHostList(url),
});
workers.register({ name: "http", create: ({ url }) => new HttpWorker(url) });
