/**
 * Measures the overhead of entry and side per request: compares calls of an endpoint with
 * calls through entry and side, in one run. Each role runs on its own thread.
 */

import {
  describeSite,
  OperatorSession,
  StandinPlatform,
  waitUntil,
} from "@rackspan/harness";
import { registerBenchmark } from "./benchmarks.js";
import { printRows, type Row } from "./output.js";
import { sideSettingsFor, startEntryThread } from "./threadedSite.js";
import { RoleThread, runLoad } from "./threads.js";
import { writeTemporary } from "./writeTemporary.js";

const WARM_UP_MS = 2_000;
const RUN_MS = 4_000;
const ROUNDS = 3;
const CONNECTIONS = 32;
const SLOTS = 256;

const SERVICE = {
  kind: "service",
  name: "bench",
  replicas: 2,
  resources: { processors: 1, memoryMiB: 64 },
  program: { name: "endpoint" },
  routes: [{ prefix: "/bench", class: "query", repeatable: true }],
};

interface PathSite {
  readonly entry: RoleThread;
  readonly sides: readonly RoleThread[];
  readonly platform: StandinPlatform;
  /** An endpoint with the same code that is called directly. */
  readonly direct: RoleThread;
}

const startSite = async (): Promise<PathSite> => {
  const description = describeSite({ workers: 2, entries: 1 });
  const platform = new StandinPlatform(description);
  await platform.start();
  const sides: RoleThread[] = [];
  for (const place of description.workers) {
    const admission = { slots: SLOTS, connections: SLOTS };
    const settings = sideSettingsFor(platform, place, { admission });
    const side = await RoleThread.start({ role: "side", settings });
    platform.listWorker(place, side.ready.address);
    sides.push(side);
  }
  const entry = await startEntryThread(platform, description);
  const operator = new OperatorSession([entry.ready.control as string]);
  await waitUntil(
    "the entry is ready",
    async () => (await operator.run("status")).code === 0,
  );
  await operator.runOrThrow("apply", writeTemporary([SERVICE]), "--wait");
  await waitUntil(
    "both endpoints run",
    () => platform.tasks.entries.length === 2,
  );
  await new Promise((resolve) => setTimeout(resolve, 500));
  const direct = await RoleThread.start({ role: "endpoint", settings: {} });
  return { entry, sides, platform, direct };
};

const measure = async (
  name: string,
  url: string,
  rate: number,
  site: PathSite,
): Promise<Row> => {
  const before = await Promise.all(
    [site.entry, ...site.sides].map((role) => role.usage()),
  );
  const result = await runLoad({
    url,
    connections: CONNECTIONS,
    durationMs: RUN_MS,
    rate,
  });
  const after = await Promise.all(
    [site.entry, ...site.sides].map((role) => role.usage()),
  );
  const busy = after.map(
    ({ activeMs }, i) => activeMs - (before[i]?.activeMs ?? 0),
  );
  const [entryMs = 0, ...sideMs] = busy;
  const perRequest = (ms: number): number =>
    (ms * 1_000) / Math.max(1, result.requests);
  return {
    run: name,
    "requests/s": Math.round(result.requests / result.seconds),
    errors: result.errors,
    "p50 ms": result.p50Ms,
    "p99 ms": result.p99Ms,
    "entry us/request": name.startsWith("direct") ? 0 : perRequest(entryMs),
    "side us/request": name.startsWith("direct")
      ? 0
      : perRequest(sideMs.reduce((a, b) => a + b, 0)),
  };
};

const runPath = async (): Promise<void> => {
  const site = await startSite();
  const direct = `http://${site.direct.ready.address}/bench`;
  const through = `${site.entry.ready.address}/bench`;
  const idle = await site.entry.usage();
  const idleSide = await site.sides[0]?.usage();
  for (const url of [direct, through]) {
    await runLoad({
      url,
      connections: CONNECTIONS,
      durationMs: WARM_UP_MS,
      rate: 0,
    });
  }
  const rows: Row[] = [];
  for (let round = 1; round <= ROUNDS; round += 1) {
    rows.push(await measure(`direct full ${round}`, direct, 0, site));
    const full = await measure(`through full ${round}`, through, 0, site);
    rows.push(full);
    const half = Number(full["requests/s"]) / 2;
    rows.push(await measure(`direct half ${round}`, direct, half, site));
    rows.push(await measure(`through half ${round}`, through, half, site));
  }
  printRows("path: the endpoint alone, and through entry and side", rows);
  const loaded = await site.entry.usage();
  const loadedSide = await site.sides[0]?.usage();
  printRows("path: heap of a process", [
    { role: "entry", "idle MiB": idle.heapMiB, "loaded MiB": loaded.heapMiB },
    {
      role: "side",
      "idle MiB": idleSide?.heapMiB ?? 0,
      "loaded MiB": loadedSide?.heapMiB ?? 0,
    },
  ]);
  await Promise.all(
    [site.entry, ...site.sides, site.direct].map((role) => role.stop()),
  );
  await site.platform.close();
};

registerBenchmark("path", runPath);
