import { afterEach, test } from "node:test";
import { expect } from "earl";
import {
  brand,
  ManualClock,
  Metrics,
  offset,
  SeededRandom,
  silentLogger,
  type Incarnation,
  type Offset,
} from "@rackspan/common";
import {
  LogAnswerLostError,
  LogUnavailableError,
  RetentionError,
  type LogPage,
  type LogService,
  type ReadOptions,
} from "@rackspan/ports";
import {
  Appender,
  AppendRefusedError,
  AppendUnknownError,
  declarationSchema,
  Fold,
  LogFollower,
  HistoryLostError,
  SnapshotStore,
  type LogRecord,
  type Snapshot,
} from "@rackspan/state";

type AppendAnswer = "kept" | "down" | "lost" | "lost-and-dropped";

/** A log in memory whose answer to each append is set by the test. */
class FakeLog implements LogService {
  readonly streams = new Map<string, { oldest: number; entries: Buffer[] }>();
  answers: AppendAnswer[] = [];
  readsDown = false;
  appends = 0;

  async append(name: string, data: Buffer): Promise<Offset> {
    this.appends += 1;
    const answer = this.answers.shift() ?? "kept";
    if (answer === "down") throw new LogUnavailableError("down");
    const stream = this.stream(name);
    if (answer !== "lost-and-dropped") stream.entries.push(data);
    if (answer !== "kept") throw new LogAnswerLostError("lost");
    return offset(stream.oldest + stream.entries.length - 1);
  }

  async read(name: string, { from }: ReadOptions): Promise<LogPage> {
    if (this.readsDown) throw new LogUnavailableError("down");
    const { oldest, entries } = this.stream(name);
    if (from < oldest) throw new RetentionError(name, from, offset(oldest));
    const page = entries
      .slice(from - oldest)
      .map((data, index) => ({ offset: offset(from + index), data }));
    // In the real log, a read of an empty tail waits; here one turn of
    // the event loop is enough.
    await new Promise((resolve) => setImmediate(resolve));
    return {
      entries: page,
      next: offset(from + page.length),
      oldest: offset(oldest),
    };
  }

  truncate(name: string, oldest: number): void {
    const stream = this.stream(name);
    stream.entries.splice(0, oldest - stream.oldest);
    stream.oldest = oldest;
  }

  private stream(name: string) {
    const stream = this.streams.get(name) ?? { oldest: 0, entries: [] };
    this.streams.set(name, stream);
    return stream;
  }
}

const submit = (name: string): LogRecord => ({
  type: "submit",
  job: declarationSchema.parse({
    kind: "job",
    name,
    resources: { processors: 1, memoryMiB: 64 },
    program: { name: "batch" },
  }) as never,
});

const running = new Set<AbortController>();

/** A failed test must not leave tasks running that keep the test runner from exiting. */
afterEach(() => {
  for (const stop of running) stop.abort();
  running.clear();
});

const createProcess = (log: FakeLog, peer?: () => Snapshot | undefined) => {
  const clock = new ManualClock();
  const shared = {
    log,
    clock,
    random: new SeededRandom(1),
    metrics: new Metrics(),
    logger: silentLogger,
    fold: new Fold(),
  };
  const writer = brand<Incarnation>(`writer-${Math.random()}`);
  const appender = new Appender({
    ...shared,
    writer,
    appendsPerSecond: 20,
    maxQueued: 5,
  });
  const peers = { fetchNewest: async () => peer?.() };
  const follower = new LogFollower({
    ...shared,
    snapshots: new SnapshotStore(log),
    peers,
  });
  const stop = new AbortController();
  running.add(stop);
  const start = (): void => {
    void follower.run(stop.signal);
    void appender.run(stop.signal);
  };
  /** Advances the clock in small steps, so that both tasks can run. */
  const advance = async (ms: number): Promise<void> => {
    for (let at = 0; at < ms; at += 20) await clock.advance(20);
  };
  return {
    ...shared,
    appender,
    follower,
    start,
    advance,
    stop: () => stop.abort(),
  };
};

const settled = async <T>(promise: Promise<T>): Promise<T | Error> =>
  promise.catch((err: Error) => err);

test("queued records are sent in one append, and each caller receives the result of its record", async () => {
  const log = new FakeLog();
  const process = createProcess(log);
  const results = ["a", "b", "a"].map((name) =>
    process.appender.submit(submit(name), 5_000),
  );
  process.start();
  await process.advance(200);
  expect((await Promise.all(results)).map(({ accepted }) => accepted)).toEqual([
    true,
    true,
    false,
  ]);
  expect(log.appends).toEqual(1);
  process.stop();
});

for (const lost of ["lost", "lost-and-dropped"] as const) {
  test(`an append whose answer is lost (${lost}) takes effect once`, async () => {
    const log = new FakeLog();
    log.answers = [lost, "lost"];
    const process = createProcess(log);
    process.start();
    const result = settled(process.appender.submit(submit("a"), 60_000));
    await process.advance(10_000);
    expect(await result).toLooseEqual({ accepted: true, sequence: 1 });
    expect(Number(process.fold.sequence)).toEqual(1);
    process.stop();
  });
}

test("while the log is down, a record is refused as not appended and never appears later", async () => {
  const log = new FakeLog();
  log.answers = Array<AppendAnswer>(30).fill("down");
  const process = createProcess(log);
  process.start();
  const refused = settled(process.appender.submit(submit("a"), 1_000));
  await process.advance(1_500);
  expect(await refused).toBeA(AppendRefusedError);
  log.answers = [];
  const next = settled(process.appender.submit(submit("b"), 60_000));
  await process.advance(20_000);
  expect(await next).toLooseEqual({ accepted: true, sequence: 1 });
  expect(
    [...process.fold.units.unfinishedUnits()].map(({ id }) => String(id)),
  ).toEqual(["job/b"]);
  process.stop();
});

test("a refused record is not appended with the others of its batch", async () => {
  const log = new FakeLog();
  log.answers = Array<AppendAnswer>(6).fill("down");
  const process = createProcess(log);
  const shortTimeout = settled(process.appender.submit(submit("a"), 300));
  const longTimeout = settled(process.appender.submit(submit("b"), 60_000));
  process.start();
  await process.advance(30_000);
  expect(await shortTimeout).toBeA(AppendRefusedError);
  expect(await longTimeout).toLooseEqual({ accepted: true, sequence: 1 });
  expect(
    [...process.fold.units.unfinishedUnits()].map(({ id }) => String(id)),
  ).toEqual(["job/b"]);
  process.stop();
});

test("a record that expires while its append is in progress is not reported as refused", async () => {
  const log = new FakeLog();
  let release: () => void = () => undefined;
  const held = new Promise<void>((resolve) => (release = resolve));
  const append = log.append.bind(log);
  log.append = async (name, data) => {
    await held;
    return append(name, data);
  };
  const process = createProcess(log);
  process.start();
  const unknown = settled(process.appender.submit(submit("a"), 500));
  await process.advance(1_000);
  expect(await unknown).toBeA(AppendUnknownError);
  release();
  await process.advance(500);
  expect(process.fold.units.unfinishedCount).toEqual(1);
  process.stop();
});

test("a record that may have been appended is never reported as refused", async () => {
  const log = new FakeLog();
  log.answers = ["lost"];
  const process = createProcess(log);
  process.start();
  await process.advance(100);
  log.readsDown = true;
  const unknown = settled(process.appender.submit(submit("a"), 500));
  await process.advance(2_000);
  expect(await unknown).toBeA(AppendUnknownError);
  log.readsDown = false;
  await process.advance(5_000);
  expect(process.fold.units.unfinishedCount).toEqual(1);
  process.stop();
});

test("a full queue refuses at once", async () => {
  const process = createProcess(new FakeLog());
  const waiting = Array.from({ length: 5 }, (_, i) =>
    settled(process.appender.submit(submit(`j${i}`), 1_000)),
  );
  expect(await settled(process.appender.submit(submit("last"), 1_000))).toBeA(
    AppendRefusedError,
  );
  process.start();
  await process.advance(200);
  expect(
    (await Promise.all(waiting)).every((result) => !(result instanceof Error)),
  ).toEqual(true);
  process.stop();
});

const withSnapshot = async (log: FakeLog) => {
  const first = createProcess(log);
  first.start();
  const result = first.appender.submit(submit("old"), 5_000);
  await first.advance(300);
  await result;
  const snapshot = {
    covered: first.follower.position,
    state: first.fold.toSnapshot(),
  };
  first.stop();
  return snapshot;
};

test("a process that starts after a retention cut restores from the newest snapshot", async () => {
  const log = new FakeLog();
  const snapshot = await withSnapshot(log);
  const store = new SnapshotStore(log);
  await store.write(snapshot);
  log.truncate("records", 1);
  const second = createProcess(log);
  second.start();
  await second.advance(300);
  expect(second.follower.fault).toEqual(undefined);
  expect(
    [...second.fold.units.unfinishedUnits()].map(({ id }) => String(id)),
  ).toEqual(["job/old"]);
  second.stop();
});

test("a peer's snapshot is used when it has a higher offset than the log's", async () => {
  const log = new FakeLog();
  const snapshot = await withSnapshot(log);
  await new SnapshotStore(log).write({
    covered: offset(0),
    state: new Fold().toSnapshot(),
  });
  log.truncate("records", 1);
  const second = createProcess(log, () => snapshot);
  second.start();
  await second.advance(300);
  expect([
    Number(second.follower.position),
    second.fold.units.unfinishedCount,
  ]).toEqual([1, 1]);
  second.stop();
});

test("a process whose history is lost reports a fault and does not start empty", async () => {
  const log = new FakeLog();
  await withSnapshot(log);
  log.truncate("records", 1);
  const second = createProcess(log);
  second.start();
  await second.advance(300);
  expect(second.follower.fault).toBeA(HistoryLostError);
  expect(second.follower.caughtUp).toEqual(false);
  second.stop();
});

test("a snapshot with a missing part is not used", async () => {
  const log = new FakeLog();
  const snapshot = await withSnapshot(log);
  await new SnapshotStore(log).write(snapshot);
  const stream = log.streams.get("snapshots");
  stream?.entries.splice(0, 1, Buffer.from("damaged"));
  expect(await new SnapshotStore(log).load()).toEqual(undefined);
});
