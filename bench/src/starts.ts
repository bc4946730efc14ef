/** Submits jobs at fixed rates and measures the time from submit to start, appends and lost claims. */

import { silentLogger } from "@rackspan/common";
import { OPERATOR_METHODS } from "@rackspan/entry";
import { describeSite, Site, waitUntil } from "@rackspan/harness";
import { RpcClient } from "@rackspan/protocol";
import { jobSchema } from "@rackspan/state";
import { registerBenchmark } from "./benchmarks.js";
import { median, printRows, type Row } from "./output.js";

const RATES = [10, 30, 100] as const;
const WORKERS = 20;
const ENTRIES = 3;
const RUN_MS = 8_000;
const URGENT_EVERY = 10;

const quantile = (values: readonly number[], share: number): number => {
  const sorted = [...values].sort((a, b) => a - b);
  return (
    sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0
  );
};

const jobOf = (name: string, urgent: boolean) =>
  jobSchema.parse({
    kind: "job",
    name,
    priority: urgent ? "urgent" : "normal",
    resources: { processors: 1, memoryMiB: 256 },
    program: { name: "batch", args: { steps: 5, stepMs: 50 } },
  });

const submitAtRate = async (
  site: Site,
  rate: number,
): Promise<ReadonlyMap<string, number>> => {
  const submitted = new Map<string, number>();
  const clients = [...site.entries.values()].map(
    ({ controlAddress }) =>
      new RpcClient(OPERATOR_METHODS, `http://${controlAddress}`),
  );
  const calls: Promise<unknown>[] = [];
  const startedAt = Date.now();
  for (let index = 0; Date.now() - startedAt < RUN_MS; index += 1) {
    const due = startedAt + (index * 1_000) / rate;
    const waitMs = due - Date.now();
    if (waitMs > 0) await new Promise((resolve) => setTimeout(resolve, waitMs));
    const name = `r${rate}-${index}`;
    submitted.set(`job/${name}`, Date.now());
    const client = clients[index % clients.length] as (typeof clients)[0];
    const job = jobOf(name, index % URGENT_EVERY === 0);
    calls.push(
      client
        .call("submit", { job }, { timeoutMs: 15_000 })
        .catch(() => undefined),
    );
  }
  await Promise.all(calls);
  clients.forEach((client) => client.close());
  return submitted;
};

const countClaims = async (
  site: Site,
  result: (name: string) => boolean,
): Promise<number> => {
  let sum = 0;
  for (const { metrics } of site.entries.values()) {
    for (const { labels, value } of await metrics.values("claims")) {
      if (result(labels["result"] ?? "")) sum += value;
    }
  }
  return sum;
};

const measureRate = async (rate: number): Promise<Row> => {
  const description = describeSite({ workers: WORKERS, entries: ENTRIES });
  const site = new Site({ description, logger: silentLogger });
  await site.start();
  const { tasks, log } = site.platform;
  const appendsBefore = log.appends;
  const submitted = await submitAtRate(site, rate);
  await waitUntil(
    "all have started",
    () => tasks.entries.length >= submitted.size,
    60_000,
  );
  const seconds = RUN_MS / 1_000;
  const delays = tasks.entries.map(
    ({ unit, startedAt }) => startedAt - (submitted.get(unit) ?? startedAt),
  );
  const urgent = tasks.entries
    .filter(({ unit }) => Number(unit.split("-").at(-1)) % URGENT_EVERY === 0)
    .map(
      ({ unit, startedAt }) => startedAt - (submitted.get(unit) ?? startedAt),
    );
  const won = await countClaims(site, (name) => name === "won");
  const lost = await countClaims(site, (name) => name !== "won");
  const row = {
    "starts/s": rate,
    started: tasks.entries.length,
    "p50 ms": median(delays),
    "p99 ms": quantile(delays, 0.99),
    "urgent p99 ms": quantile(urgent, 0.99),
    "appends/s": (log.appends - appendsBefore) / seconds,
    "KiB/s appended": log.appendedBytes / 1_024 / seconds,
    "lost claims %": (100 * lost) / Math.max(1, won + lost),
    overlaps: tasks.overlaps,
  };
  await site.close();
  return row;
};

const runStarts = async (): Promise<void> => {
  const rows: Row[] = [];
  for (const rate of RATES) rows.push(await measureRate(rate));
  printRows(
    `starts: ${WORKERS} workers and ${ENTRIES} entries in one process`,
    rows,
  );
};

registerBenchmark("starts", runStarts);
