/** Runs one role of a benchmark site on its own thread and reports its resource usage. */

import { parentPort, workerData } from "node:worker_threads";
import { SystemClock } from "@rackspan/common";
import { EntryProcess, entrySettingsSchema } from "@rackspan/entry";
import { SideProcess, sideSettingsSchema } from "@rackspan/side";
import { EndpointStandin, RequestLedger } from "@rackspan/standins";

export interface RoleOptions {
  readonly role: "entry" | "side" | "endpoint";
  readonly settings: unknown;
}

export interface RoleReady {
  readonly event: "ready";
  /** URL for callers or `IP:PORT` for entries. */
  readonly address: string;
  readonly control?: string;
}

/** Reply to a message: active time of the thread's event loop and size of its heap. */
export interface RoleUsage {
  readonly event: "usage";
  readonly activeMs: number;
  readonly heapMiB: number;
}

class DiscardingLedger extends RequestLedger {
  override record(): void {
    // Records nothing, since a long run would fill the memory.
  }
}

const startRole = async ({
  role,
  settings,
}: RoleOptions): Promise<RoleReady> => {
  if (role === "endpoint") {
    const endpoint = new EndpointStandin({
      name: "bench",
      requests: new DiscardingLedger(),
    });
    return { event: "ready", address: await endpoint.listen() };
  }
  if (role === "side") {
    const side = new SideProcess({
      settings: sideSettingsSchema.parse(settings),
    });
    await side.start();
    return { event: "ready", address: side.address };
  }
  const entry = new EntryProcess({
    settings: entrySettingsSchema.parse(settings),
    clock: new SystemClock(),
  });
  await entry.start();
  return { event: "ready", address: entry.url, control: entry.controlAddress };
};

const ready = await startRole(workerData as RoleOptions);
parentPort?.on("message", () => {
  const { active } = performance.eventLoopUtilization();
  const heapMiB = process.memoryUsage().heapUsed / 1_048_576;
  parentPort?.postMessage({
    event: "usage",
    activeMs: active,
    heapMiB,
  } satisfies RoleUsage);
});
parentPort?.postMessage(ready);
