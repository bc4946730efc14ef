/** Measures the idle cost of one more side for an entry, and of an entry for a side. */

import { subscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";
import {
  describeSite,
  OperatorSession,
  StandinPlatform,
  waitUntil,
} from "@rackspan/harness";
import { SideProcess, sideSettingsSchema } from "@rackspan/side";
import { registerBenchmark } from "./benchmarks.js";
import { printRows, slopeOf, type Row } from "./output.js";
import { sideSettingsFor, startEntryThread } from "./threadedSite.js";

const SIZES = [10, 50, 200] as const;
const WINDOW_MS = 20_000;
const SETTLE_MS = 3_000;

/** Counts the bytes of all connections that servers of this thread have accepted. */
class ServerBytes {
  private readonly sockets = new Set<Socket>();

  constructor() {
    subscribe("net.server.socket", (message) => {
      this.sockets.add((message as { socket: Socket }).socket);
    });
  }

  /** Sum of the bytes read and written on connections to any of the ports. */
  total(ports: ReadonlySet<number>): number {
    let sum = 0;
    for (const socket of this.sockets) {
      if (!ports.has(socket.localPort ?? -1)) continue;
      sum += socket.bytesRead + socket.bytesWritten;
    }
    return sum;
  }
}

const portOf = (address: string): number => Number(address.split(":").at(-1));

const startSides = async (
  platform: StandinPlatform,
  site: ReturnType<typeof describeSite>,
) => {
  const sides: SideProcess[] = [];
  for (const place of site.workers) {
    // Effectively disables lease renewals, which are traffic to the worker, not to the entry.
    const tasks = { renewEveryMs: 300_000 };
    const settings = sideSettingsSchema.parse(
      sideSettingsFor(platform, place, { tasks }),
    );
    const side = new SideProcess({ settings });
    await side.start();
    platform.listWorker(place, side.address);
    sides.push(side);
  }
  return sides;
};

const measureSize = async (
  workers: number,
  bytes: ServerBytes,
): Promise<Row> => {
  const site = describeSite({ workers, entries: 1 });
  const platform = new StandinPlatform(site);
  await platform.start();
  const sides = await startSides(platform, site);
  const entry = await startEntryThread(platform, site);
  const operator = new OperatorSession([entry.ready.control as string]);
  await waitUntil("all sides are known", async () => {
    const { out, code } = await operator.run("status", "--json");
    return code === 0 && JSON.parse(out).hosts.length === workers;
  });
  await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
  const ports = new Set(sides.map(({ address }) => portOf(address)));
  const before = {
    usage: await entry.usage(),
    bytes: bytes.total(ports),
    active: performance.eventLoopUtilization().active,
  };
  await new Promise((resolve) => setTimeout(resolve, WINDOW_MS));
  const after = {
    usage: await entry.usage(),
    bytes: bytes.total(ports),
    active: performance.eventLoopUtilization().active,
  };
  const seconds = WINDOW_MS / 1_000;
  const row = {
    sides: workers,
    "entry ms/s": (after.usage.activeMs - before.usage.activeMs) / seconds,
    "entry heap MiB": after.usage.heapMiB,
    "all sides ms/s": (after.active - before.active) / seconds,
    "bytes/s a side": (after.bytes - before.bytes) / seconds / workers,
  };
  await entry.stop();
  for (const side of sides) await side.kill();
  await platform.close();
  return row;
};

const runCapacity = async (): Promise<void> => {
  const bytes = new ServerBytes();
  const rows: Row[] = [];
  for (const size of SIZES) rows.push(await measureSize(size, bytes));
  printRows(
    "capacity: one entry that follows N idle sides, status each 10 s",
    rows,
  );
  const slope = (name: string): number =>
    slopeOf(
      rows.map((row) => ({ x: Number(row["sides"]), y: Number(row[name]) })),
    );
  printRows("capacity: slopes a side", [
    {
      "entry us/s": slope("entry ms/s") * 1_000,
      "entry heap KiB": slope("entry heap MiB") * 1_024,
      "side us/s": slope("all sides ms/s") * 1_000,
      "bytes/s": rows.at(-1)?.["bytes/s a side"] ?? 0,
    },
  ]);
};

registerBenchmark("capacity", runCapacity);
