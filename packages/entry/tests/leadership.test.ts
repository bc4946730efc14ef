import { test } from "node:test";
import { expect } from "earl";
import type {
  HostCallResult,
  HostReport,
  StartTaskCall,
} from "@rackspan/protocol";
import {
  DEFAULT_POLICY,
  type HostSession,
  type SchedulingPolicy,
} from "@rackspan/scheduling";
import {
  brand,
  ManualClock,
  Metrics,
  silentLogger,
  type AvailabilityZone,
  type Epoch,
  type HostId,
  type ServiceName,
  type WorkerInstance,
  type WorkerTime,
} from "@rackspan/common";
import { Leadership } from "@rackspan/entry";
import type { KeyedRecord } from "@rackspan/ports";
import {
  ConfigHolder,
  decodeLoadSummary,
  decodeProgress,
  decodeTerm,
  encodeJob,
  encodeProgress,
  EvacuatedZones,
  JobView,
  PROGRESS_KEYS,
  TopicWriter,
  TopicFollower,
  TOPICS,
  type AcceptedJob,
  type JobId,
} from "@rackspan/state";
import { MemoryStore, plainJob, STARTED_PROGRESS } from "@rackspan/standins";

const PREVIOUS_TERM_MS = 2_500;
const JOB = brand<JobId>("5c0e7a21d94b36f8");

const acceptedJob = (acceptedAt: number): AcceptedJob =>
  plainJob({ id: JOB, acceptedAt, terms: { maxAttempts: 1 } });

/** @param loadSummaryIntervalMs see LeadershipOptions */
const setUp = (
  policy: Partial<SchedulingPolicy> = {},
  loadSummaryIntervalMs?: number,
) => {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  const logger = silentLogger;
  const metrics = new Metrics();
  /** The reasons for which terms failed, in order. */
  const termFailures: string[] = [];
  const view = new JobView({ logger, metrics });
  const zones = new EvacuatedZones({ clock, logger, metrics });
  const writerOf = (topic: (typeof TOPICS)[keyof typeof TOPICS]) =>
    new TopicWriter({
      topic,
      store,
      clock,
      logger,
      producer: "entry",
      epoch: 1,
      batchWindowMs: 0,
      retriesRefusedBatches: false,
    });
  // One writer for each topic: a producer must not use a sequence twice.
  const jobsWriter = writerOf(TOPICS.jobs);
  const cancelsWriter = writerOf(TOPICS.cancels);
  const follow = (
    topic: (typeof TOPICS)["jobs" | "cancels" | "hosts"],
    onRecords: (records: readonly KeyedRecord[]) => void,
  ) => {
    const follower = new TopicFollower({
      topic,
      store,
      clock,
      logger,
      minPollIntervalMs: () => 20,
      onRecords,
    });
    follower.start();
    return follower;
  };
  const jobs = follow(TOPICS.jobs, (records) => view.applyJobRecords(records));
  const cancels = follow(TOPICS.cancels, (r) => view.applyCancelRecords(r));
  const leadership = new Leadership({
    store,
    view,
    config: new ConfigHolder(logger),
    zones,
    followers: [jobs, cancels],
    jobsWriter,
    cancelsWriter,
    clock,
    logger,
    metrics,
    leadershipTtlMs: PREVIOUS_TERM_MS,
    leaseMs: 6_000,
    stopMs: 200,
    endedJobRetentionMs: 10_000,
    progressBatchWindowMs: 5,
    loadSummaryIntervalMs,
    order: "byWorth",
    permits: undefined,
    placer: "colocating",
    policy: { ...DEFAULT_POLICY, ...policy },
    mayDecide: () => true,
    onTermFailed: (reason) => termFailures.push(reason),
  });
  const lastState = () => {
    const record = store.recordsOf(TOPICS.progress).at(-1);
    return record?.value && decodeProgress(JOB, record.value).state;
  };
  const stop = async (): Promise<void> => {
    leadership.endTerm();
    const stopped = Promise.all([jobs.stop(), cancels.stop()]);
    await clock.advance(2_000);
    await stopped;
  };
  /** Persists the job as another entry would. */
  const persistJob = async (): Promise<void> => {
    const value = encodeJob(acceptedJob(clock.now()));
    const { persisted } = jobsWriter.write({ key: JOB, value });
    await clock.advance(50);
    await persisted;
  };
  const persistCancel = async (): Promise<void> => {
    const value = Buffer.from(JSON.stringify({ at: clock.now() }));
    const { persisted } = cancelsWriter.write({ key: JOB, value });
    await clock.advance(50);
    await persisted;
  };
  return {
    clock,
    store,
    view,
    jobsWriter,
    leadership,
    lastState,
    follow,
    stop,
    persistJob,
    persistCancel,
    jobs,
    termFailures,
  };
};

test("a cancel that is read before its job takes effect when the job arrives", async () => {
  const { clock, view, jobsWriter, leadership, lastState, stop } = setUp();
  leadership.beginTerm(brand<Epoch>(1));
  await clock.advance(200);
  view.addCancel(JOB, clock.now());
  const value = encodeJob(acceptedJob(clock.now()));
  const persisted = jobsWriter.write({ key: JOB, value }).persisted;
  await clock.advance(200);
  await persisted;
  expect(lastState()).toEqual("cancelled");
  await stop();
});

// Taken for a new one, the job would be started again.
test("progress that is read before its job counts when the job arrives", async () => {
  const { clock, view, jobsWriter, leadership, lastState, stop } = setUp();
  leadership.beginTerm(brand<Epoch>(1));
  await clock.advance(200);
  const progress = { ...STARTED_PROGRESS, state: "completed" as const };
  view.applyProgressRecords([{ key: JOB, value: encodeProgress(progress) }]);
  view.addCancel(JOB, clock.now());
  const value = encodeJob(acceptedJob(clock.now()));
  const persisted = jobsWriter.write({ key: JOB, value }).persisted;
  await clock.advance(200);
  await persisted;
  // A job that has not ended would be recorded as cancelled.
  expect(lastState()).toEqual(undefined);
  await stop();
});

test("a job whose retention time is over is removed from all topics of the store", async () => {
  const { clock, store, view, jobsWriter, leadership, stop } = setUp();
  const value = encodeJob(acceptedJob(clock.now()));
  const persisted = jobsWriter.write({ key: JOB, value }).persisted;
  await clock.advance(50);
  await persisted;
  leadership.beginTerm(brand<Epoch>(1));
  await clock.advance(200);
  view.addCancel(JOB, clock.now());
  await clock.advance(16_000);
  for (const topic of [TOPICS.jobs, TOPICS.cancels, TOPICS.progress]) {
    const last = store.recordsOf(topic).at(-1);
    expect([last?.key, last?.value]).toEqual([JOB, undefined]);
  }
  await stop();
});

test("a cancel that another entry acknowledged reaches the leader at once", async () => {
  const { clock, leadership, lastState, stop, persistJob, persistCancel } =
    setUp();
  leadership.beginTerm(brand<Epoch>(1));
  await clock.advance(200);
  await persistJob();
  await persistCancel();
  await clock.advance(50);
  expect(lastState()).toEqual("cancelled");
  await stop();
});

test("a cancel that was acknowledged while there was no leader is carried out by the next leader", async () => {
  const { clock, leadership, lastState, stop, persistJob, persistCancel } =
    setUp();
  await persistJob();
  await persistCancel();
  leadership.beginTerm(brand<Epoch>(1));
  await clock.advance(100);
  expect(lastState()).toEqual("cancelled");
  await stop();
});

test("a cancel is retained for a job whose record this version cannot read", async () => {
  // The job exists even though this version cannot decode it.
  const { clock, store, jobsWriter, leadership, stop, persistCancel } = setUp();
  const value = Buffer.from("of another version");
  const { persisted } = jobsWriter.write({ key: JOB, value });
  await clock.advance(50);
  await persisted;
  leadership.beginTerm(brand<Epoch>(1));
  await clock.advance(200);
  await persistCancel();
  await clock.advance(16_000);
  expect(store.recordsOf(TOPICS.cancels).length).toEqual(1);
  await stop();
});

test("a cancel whose job never arrived is removed after the retention time", async () => {
  // Cancels are otherwise removed together with their job, which does not exist here.
  const { clock, store, leadership, stop, persistCancel } = setUp();
  leadership.beginTerm(brand<Epoch>(1));
  await clock.advance(200);
  await persistCancel();
  const last = () => store.recordsOf(TOPICS.cancels).at(-1);
  await clock.advance(9_000);
  expect(last()?.value === undefined).toEqual(false);
  await clock.advance(7_000);
  expect([last()?.key, last()?.value]).toEqual([JOB, undefined]);
  await stop();
});

/** A host session that accepts every order. */
class AcceptingHost implements HostSession {
  readonly starts: StartTaskCall[] = [];

  async startTask(call: StartTaskCall): Promise<HostCallResult> {
    this.starts.push(call);
    return { kind: "ok", at: 0 as unknown as WorkerTime };
  }

  async stopTask(): Promise<HostCallResult> {
    return { kind: "ok", at: 0 as unknown as WorkerTime };
  }

  acknowledge(): void {}

  describe(): void {}
}

const reportAt = (at: number): HostReport => ({
  worker: {
    instance: brand<WorkerInstance>("i-1"),
    service: brand<ServiceName>("kaigi"),
    labels: [],
    rack: "r1",
    milliCores: 32_000,
    memoryMiB: 128_000,
    accelerators: 0,
    draining: false,
  },
  at: at as unknown as WorkerTime,
  running: [],
  ended: [],
  hasMoreEnds: false,
  lostRuns: [],
});

// If a slow takeover treated the jobs that it reads as new, it could start tasks that a
// silent host still runs.
test("a takeover that lasts longer than the previous term treats the jobs that it reads as old", async () => {
  const { clock, store, view, leadership, follow, stop, persistJob } = setUp();
  const silent = brand<HostId>("h1");
  const hosts = follow(TOPICS.hosts, (records) =>
    view.applyHostRecords(records),
  );
  await store.append({
    topic: TOPICS.hosts,
    records: [{ key: silent, value: Buffer.from("{}") }],
    stamp: { producer: "leader", epoch: 1, sequence: 1 },
  } as never);
  await persistJob();
  store.fault = "refuses";
  leadership.beginTerm(brand<Epoch>(2));
  await clock.advance(PREVIOUS_TERM_MS + 500);
  store.fault = "none";
  await clock.advance(500);
  const host = brand<HostId>("h2");
  const session = new AcceptingHost();
  const zone = brand<AvailabilityZone>("obihiro-a");
  const engine = leadership.activeTerm?.engine;
  engine?.attach(host, session);
  const reportFor = async (ms: number): Promise<void> => {
    const endAt = clock.monotonic() + ms;
    while (clock.monotonic() < endAt) {
      engine?.handleReport(host, zone, reportAt(clock.monotonic()));
      await clock.advance(100);
    }
  };
  await reportFor(1_000);
  expect(session.starts.length).toEqual(0);
  await reportFor(6_000);
  expect(session.starts.length > 0).toEqual(true);
  const stopped = hosts.stop();
  await stop();
  await stopped;
});

// The earlier term fails because its writers are closed; that must not end the next term.
test("a term that fails after the next one has started does not end leadership", async () => {
  const { clock, store, leadership, jobs, termFailures } = setUp();
  store.fault = "refuses";
  leadership.beginTerm(brand<Epoch>(1));
  await clock.advance(20);
  leadership.beginTerm(brand<Epoch>(2));
  store.fault = "none";
  await clock.advance(1_000);
  expect(termFailures).toEqual([]);
  expect(leadership.activeTerm?.epoch).toEqual(brand<Epoch>(2));
  leadership.endTerm();
  await clock.advance(200);
  expect(termFailures).toEqual([]);
  const stopped = jobs.stop();
  await clock.advance(2_000);
  await stopped;
});

test("a term that fails while it is the current one ends the entry's leadership", async () => {
  const { clock, store, leadership, jobs, termFailures } = setUp();
  await store.append({
    topic: TOPICS.progress,
    records: [],
    stamp: { producer: "leader", epoch: 5, sequence: 0 },
    timeoutMs: 100,
  });
  leadership.beginTerm(brand<Epoch>(2));
  await clock.advance(200);
  expect(termFailures.length).toEqual(1);
  leadership.endTerm();
  const stopped = jobs.stop();
  await clock.advance(2_000);
  await stopped;
});

test("each leader publishes load summaries under its own epoch, and none after its term", async () => {
  const { clock, store, leadership, persistJob, stop } = setUp({}, 500);
  const epochs = (): number[] =>
    store
      .recordsOf(TOPICS.progress)
      .flatMap(({ key, value }) =>
        key === PROGRESS_KEYS.load && value
          ? [decodeLoadSummary(key, value).epoch]
          : [],
      );
  leadership.beginTerm(brand<Epoch>(1));
  await clock.advance(200);
  await persistJob();
  await clock.advance(1_200);
  expect(epochs()).toEqual([1, 1]);
  leadership.endTerm();
  await clock.advance(2_000);
  expect(epochs()).toEqual([1, 1]);
  leadership.beginTerm(brand<Epoch>(2));
  await clock.advance(1_200);
  expect(epochs()).toEqual([1, 1, 2, 2]);
  await stop();
});

test("a leader whose setting is off writes no load summary", async () => {
  const { clock, store, leadership, persistJob, stop } = setUp();
  leadership.beginTerm(brand<Epoch>(1));
  await clock.advance(200);
  await persistJob();
  await clock.advance(2_000);
  const keys = store.recordsOf(TOPICS.progress).map(({ key }) => key);
  expect(keys.includes(PROGRESS_KEYS.load)).toEqual(false);
  await stop();
});

// Without it the next leader could take a task that was started here for one that never was.
test("a leader that records placements writes its term first, and completes it without missing hosts", async () => {
  const { clock, store, leadership, stop, persistJob } = setUp({
    recordsPlacements: true,
  });
  await persistJob();
  leadership.beginTerm(brand<Epoch>(4));
  await clock.advance(100);
  const [first] = store.recordsOf(TOPICS.progress);
  expect(first?.key).toEqual(PROGRESS_KEYS.term);
  expect(first?.value && decodeTerm(first.value)).toEqual({ epoch: 4 });
  await clock.advance(1_000);
  const last = store.recordsOf(TOPICS.progress).at(-1);
  expect(last?.key).toEqual(PROGRESS_KEYS.term);
  expect(last?.value && decodeTerm(last.value)).toEqual({
    epoch: 4,
    placementsSince: 4,
  });
  await stop();
});

test("a leader that records no placements writes no term", async () => {
  const { clock, store, leadership, stop, persistJob } = setUp();
  await persistJob();
  leadership.beginTerm(brand<Epoch>(4));
  await clock.advance(1_000);
  expect(store.recordsOf(TOPICS.progress)).toEqual([]);
  await stop();
});
