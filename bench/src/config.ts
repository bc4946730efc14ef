/** Measures the time from submitting a change until it is in force at every process that reads the log. */

import {
  freshId,
  Metrics,
  SeededRandom,
  silentLogger,
  SystemClock,
  type Incarnation,
} from "@rackspan/common";
import { HttpLogService } from "@rackspan/ports";
import {
  Appender,
  declarationSchema,
  Fold,
  LogFollower,
  SnapshotStore,
  type LogRecord,
} from "@rackspan/state";
import { LogStandin } from "@rackspan/standins";
import { registerBenchmark } from "./benchmarks.js";
import { median, printRows, slopeOf, type Row } from "./output.js";

const READERS = [10, 50, 200] as const;
const CHANGES = 20;
const OUTAGE_MS = 1_000;
const POLL_MS = 1;

const createReader = (url: string, seed: number) => {
  const clock = new SystemClock({ keepsProcessAlive: true });
  const log = new HttpLogService(url);
  const shared = {
    log,
    clock,
    random: new SeededRandom(seed),
    metrics: new Metrics(),
    logger: silentLogger,
    fold: new Fold(),
  };
  const peers = { fetchNewest: async () => undefined };
  const follower = new LogFollower({
    ...shared,
    peers,
    snapshots: new SnapshotStore(log),
  });
  return { ...shared, follower };
};

const changeOf = (
  base: Fold["config"]["version"],
  maxJobs: number,
): LogRecord => ({
  type: "apply",
  operator: "bench",
  base,
  changes: [
    {
      action: "put",
      declaration: declarationSchema.parse({
        kind: "quota",
        name: "t",
        resources: { processors: 1, memoryMiB: 1 },
        maxJobs,
      }),
    },
  ],
});

const until = async (holds: () => boolean): Promise<void> => {
  while (!holds()) await new Promise((resolve) => setTimeout(resolve, POLL_MS));
};

const measure = async (readers: number): Promise<Row> => {
  const standin = new LogStandin();
  const url = await standin.server.listen();
  const stop = new AbortController();
  const all = Array.from({ length: readers }, (_, index) =>
    createReader(url, index),
  );
  const [first] = all;
  if (!first) throw new Error("no reader");
  const writer = freshId<Incarnation>();
  const appender = new Appender({ ...first, writer, appendsPerSecond: 50 });
  const tasks = all.map(({ follower }) => follower.run(stop.signal));
  tasks.push(appender.run(stop.signal));
  await until(() => all.every(({ follower }) => follower.caughtUp));

  const apply = async (index: number, outage: boolean): Promise<number> => {
    const startedAt = performance.now();
    const verdict = appender.submit(
      changeOf(first.fold.config.version, index),
      20_000,
    );
    if (outage) {
      const before = standin.appends;
      await until(() => standin.appends > before);
      standin.server.faults.mode = "down";
      setTimeout(() => standin.server.faults.reset(), OUTAGE_MS);
    }
    const { sequence } = await verdict;
    await until(() => all.every(({ fold }) => fold.config.version >= sequence));
    return performance.now() - startedAt;
  };

  const times: number[] = [];
  for (let index = 0; index < CHANGES; index += 1)
    times.push(await apply(index, false));
  const throughOutage = await apply(CHANGES, true);
  stop.abort();
  await standin.server.close();
  await Promise.all(tasks);
  return {
    readers,
    "in force ms, median": median(times),
    "in force ms, worst": Math.max(...times),
    "log down 1 s after acceptance, ms": throughOutage,
  };
};

const runConfig = async (): Promise<void> => {
  const rows: Row[] = [];
  for (const readers of READERS) rows.push(await measure(readers));
  printRows("config: from apply to in force at every reader", rows);
  const points = rows.map((row) => ({
    x: Number(row["readers"]),
    y: Number(row["in force ms, median"]),
  }));
  printRows("config: slope", [{ "ms a reader": slopeOf(points) }]);
};

registerBenchmark("config", runConfig);
