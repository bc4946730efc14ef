/**
 * Simulates bulk jobs of filling tasks beside urgent jobs on hosts with a fixed room,
 * and measures what the callers of the bulk jobs get. Run times have a tail, and
 * estimates are off, as in docs/hard-load.md.
 */

import {
  brand,
  SeededRandom,
  type Instant,
  type Random,
} from "@rackspan/common";
import type { RunRef } from "@rackspan/ports";
import { plainJob } from "@rackspan/standins";
import {
  parseTaskId,
  TOPICS,
  decodeProgress,
  type JobId,
  type JobTerms,
  type QueueKey,
  type StepSpec,
} from "@rackspan/state";
import { EngineHarness, type FakeHost } from "./engineHarness.js";

const LOAD = {
  hosts: 76,
  /** Cores of a host: three bulk tasks and some urgent ones. */
  cores: 12,
  /** Core-milliseconds of bulk work per millisecond that the hosts can do, as measured. */
  bulkRoom: 740,
  /** Time during which jobs arrive, milliseconds. */
  arrivalMs: 40_000,
  /** Time after that until the results are evaluated, milliseconds. */
  settleMs: 25_000,
  stepMs: 100,
  steps: 2,
  tasks: { mean: 20, spread: 0.6, max: 80 },
  taskCores: { mean: 3.5, spread: 0.3, max: 7 },
  taskMs: { mean: 2_200, spread: 0.5, max: 6_000 },
  estimateSpread: 0.6,
  checkpointingShare: 0.85,
  checkpointMs: 500,
  tailFactor: 7,
} as const;

const BULK: Partial<JobTerms> = {
  priority: 2,
  stretch: 2,
  targetLatencyMs: 1_000,
};

const URGENT = {
  perSecond: 7.3,
  terms: { priority: 0, stretch: 1.5, targetLatencyMs: 300 },
  taskCount: 10,
  secondStepShare: 0.6,
  taskCores: 0.75,
  taskMs: { mean: 1_300, spread: 0.3, max: 3_000 },
} as const;

/** Utility of a job that ends late, relative to one that ends in time. */
const LATE_UTILITY = 0.15;
/** A job that ends later than this multiple of its objective has no utility. */
const MAX_USEFUL_LATENESS = 3;

export interface BulkLoadResult {
  readonly inTime: number;
  readonly late: number;
  readonly worthless: number;
  /** Utility of the bulk jobs that ended, as a share of the utility of all of them. */
  readonly utility: number;
  /** Core-milliseconds that earned nothing, as a share of all that were used. */
  readonly wastedShare: number;
  readonly wastedCoreMs: number;
  /** Served share of the largest tenth over that of all jobs. */
  readonly largestServed: number;
  readonly urgentInTime: number;
  /** Core-milliseconds of bulk work used per millisecond while jobs arrived. */
  readonly usedRate: number;
}

interface SampledJob {
  readonly id: string;
  readonly at: number;
  readonly isBulk: boolean;
  readonly steps: readonly Partial<StepSpec>[];
  readonly stepMs: readonly number[];
  readonly tasksMs: readonly (readonly number[])[];
  /** Core-milliseconds without the tail. */
  readonly work: number;
  readonly terms: Partial<JobTerms>;
}

interface Distribution {
  readonly mean: number;
  readonly spread: number;
  readonly max: number;
}

const gaussian = (random: Random): number =>
  Math.sqrt(-2 * Math.log(1 - random.next())) *
  Math.cos(2 * Math.PI * random.next());

const sample = (random: Random, { mean, spread, max }: Distribution): number =>
  Math.min(max, mean * Math.exp(spread * gaussian(random) - spread ** 2 / 2));

const idOf = (number: number): string => number.toString(16).padStart(16, "0");

const sampleBulk = (
  random: Random,
  number: number,
  at: number,
  tailShare: number,
): SampledJob => {
  const taskCount = Math.max(1, Math.round(sample(random, LOAD.tasks)));
  const milliCores = Math.round(1_000 * sample(random, LOAD.taskCores));
  const demand = { milliCores, memoryMiB: 100, accelerators: 0 };
  const checkpointing = random.next() < LOAD.checkpointingShare;
  const steps: Partial<StepSpec>[] = [];
  const stepMs: number[] = [];
  const tasksMs: number[][] = [];
  let work = 0;
  for (let step = 0; step < LOAD.steps; step += 1) {
    const ms = sample(random, LOAD.taskMs);
    const error = Math.exp(LOAD.estimateSpread * gaussian(random));
    const after = step === 0 ? [] : [step - 1];
    const estimateMs = Math.round(ms * error);
    const filling = true;
    steps.push({
      taskCount,
      demand,
      estimateMs,
      after,
      checkpointing,
      filling,
    });
    stepMs.push(ms);
    tasksMs.push(
      Array.from({ length: taskCount }, () =>
        random.next() < tailShare ? LOAD.tailFactor * ms : ms,
      ),
    );
    work += (taskCount * ms * milliCores) / 1_000;
  }
  const id = idOf(number);
  return { id, at, isBulk: true, steps, stepMs, tasksMs, work, terms: BULK };
};

const sampleUrgent = (
  random: Random,
  number: number,
  at: number,
): SampledJob => {
  const { taskCount } = URGENT;
  const count = random.next() < URGENT.secondStepShare ? 2 : 1;
  const milliCores = 1_000 * URGENT.taskCores;
  const demand = { milliCores, memoryMiB: 100, accelerators: 0 };
  const stepMs = Array.from({ length: count }, () =>
    sample(random, URGENT.taskMs),
  );
  return {
    id: idOf(number),
    at,
    isBulk: false,
    steps: stepMs.map((ms, step) => ({
      taskCount,
      demand,
      estimateMs: Math.round(
        ms * Math.exp(LOAD.estimateSpread * gaussian(random)),
      ),
      after: step === 0 ? [] : [step - 1],
    })),
    stepMs,
    tasksMs: stepMs.map((ms) => Array<number>(taskCount).fill(ms)),
    work: sum(stepMs) * taskCount * URGENT.taskCores,
    terms: URGENT.terms,
  };
};

const sampleJobs = (
  random: Random,
  load: number,
  tailShare: number,
): SampledJob[] => {
  const jobs: SampledJob[] = [];
  const gap = (meanMs: number): number => -meanMs * Math.log(1 - random.next());
  const perMs = LOAD.bulkRoom * load;
  // The gap before a job follows from the work of the one before, so that the load is
  // the same with every seed.
  for (let at = 0; at < LOAD.arrivalMs;) {
    const job = sampleBulk(random, jobs.length, at, tailShare);
    jobs.push(job);
    at += taskWork(job) / perMs;
  }
  const urgentGapMs = 1_000 / URGENT.perSecond;
  for (let at = gap(urgentGapMs); at < LOAD.arrivalMs; at += gap(urgentGapMs))
    jobs.push(sampleUrgent(random, jobs.length, at));
  return jobs.sort((a, b) => a.at - b.at);
};

/** Returns the core-milliseconds that the tasks of the job take, including the tail. */
const taskWork = ({ steps, tasksMs }: SampledJob): number =>
  sum(
    tasksMs.map(
      (times, step) =>
        (sum(times) * (steps[step]?.demand?.milliCores ?? 0)) / 1_000,
    ),
  );

interface TaskWork {
  /** Milliseconds of work that the last checkpoint holds. */
  savedMs: number;
  runKey: string;
  startedAt: number;
}

/** Lets the runs work, and counts what they use and what stops discard. */
class TaskTimes {
  readonly usedByJob = new Map<string, number>();
  usedBulkWhileArriving = 0;
  discarded = 0;
  private readonly tasks = new Map<string, TaskWork>();

  constructor(private readonly jobs: ReadonlyMap<string, SampledJob>) {}

  advance(host: FakeHost, now: number, isArriving: boolean): void {
    for (const { task, run } of host.runs) {
      const position = parseTaskId(task);
      const job = position && this.jobs.get(String(position.job));
      if (!position || !job) continue;
      const cores = (job.steps[position.step]?.demand?.milliCores ?? 0) / 1_000;
      const work = this.workOf(host, job, cores, { task, run }, now);
      const spent = cores * LOAD.stepMs;
      this.usedByJob.set(job.id, (this.usedByJob.get(job.id) ?? 0) + spent);
      if (isArriving && job.isBulk) this.usedBulkWhileArriving += spent;
      const doneMs = work.savedMs + now - work.startedAt;
      const totalMs = job.tasksMs[position.step]?.[position.index] ?? 1;
      host.setReading(task, cores * 1_000);
      if (doneMs >= totalMs) host.end(task, "done", run);
      else host.setProgress(task, Math.floor((100 * doneMs) / totalMs));
    }
  }

  private workOf(
    host: FakeHost,
    job: SampledJob,
    cores: number,
    { task, run }: RunRef,
    now: number,
  ): TaskWork {
    const runKey = `${host.host}#${run}`;
    const known = this.tasks.get(task);
    if (known?.runKey === runKey) return known;
    const work = { savedMs: 0, runKey, startedAt: now };
    if (known) {
      const ranMs = known.savedMs + now - known.startedAt;
      const isSaving = job.steps[0]?.checkpointing ?? false;
      const steps = Math.floor(ranMs / LOAD.checkpointMs);
      work.savedMs = isSaving ? steps * LOAD.checkpointMs : 0;
      this.discarded += cores * (ranMs - work.savedMs);
    }
    this.tasks.set(task, work);
    return work;
  }
}

export interface BulkLoadOptions {
  /** Name of the step order. */
  readonly order: string;
  readonly seed: number;
  /** Arriving bulk work as a share of the room for it. */
  readonly load: number;
  /** Share of tasks that take several times as long as their siblings. */
  readonly tailShare: number;
}

export const simulateBulkLoad = async ({
  order,
  seed,
  load,
  tailShare,
}: BulkLoadOptions): Promise<BulkLoadResult> => {
  const site = new EngineHarness({
    order,
    policy: { overfillsFreeHosts: false },
  });
  for (let at = 1; at <= LOAD.hosts; at += 1) {
    const host = await site.addHost(`h${at}`);
    host.milliCores = LOAD.cores * 1_000;
    site.reportOf(host);
  }
  const sampledJobs = sampleJobs(new SeededRandom(seed), load, tailShare);
  const jobs = new Map(sampledJobs.map((job) => [job.id, job]));
  const times = new TaskTimes(jobs);
  const { clock } = site;
  const startedAt = clock.monotonic();
  const waiting = [...sampledJobs];
  const acceptedAt = new Map<SampledJob, Instant>();
  while (clock.monotonic() - startedAt < LOAD.arrivalMs + LOAD.settleMs) {
    const now = clock.monotonic();
    while (waiting[0] && waiting[0].at <= now - startedAt) {
      const job = waiting.shift();
      if (!job) break;
      submit(site, job);
      acceptedAt.set(job, clock.now());
    }
    const isArriving = now - startedAt < LOAD.arrivalMs;
    for (const host of site.hosts) times.advance(host, now, isArriving);
    await site.run(LOAD.stepMs - 20);
  }
  site.engine.stop();
  const outcomes = outcomesOf(site, acceptedAt);
  return evaluate(sampledJobs, outcomes, times);
};

const submit = (
  site: EngineHarness,
  { id, steps, terms, isBulk }: SampledJob,
): void => {
  const acceptedAt = site.clock.now();
  const job = plainJob({ id, steps, acceptedAt, terms });
  const queue = brand<QueueKey>(isBulk ? "example/bulk/" : "example/urgent/");
  const spec = { ...job.spec, queue };
  site.engine.addJob({ ...job, spec }, undefined);
};

type Outcome = "in-time" | "late" | "worthless";

const outcomesOf = (
  site: EngineHarness,
  acceptedAt: ReadonlyMap<SampledJob, Instant>,
): Map<SampledJob, Outcome> => {
  const ends = new Map<string, Instant>();
  for (const { key, value } of site.store.recordsOf(TOPICS.progress)) {
    if (!value || !acceptedAtHas(acceptedAt, key)) continue;
    const progress = decodeProgress(key as unknown as JobId, value);
    if (progress.state === "completed") ends.set(key, progress.endedAt);
  }
  return new Map(
    [...acceptedAt].map(([job, at]) => [job, outcomeOf(job, at, ends)]),
  );
};

const acceptedAtHas = (
  acceptedAt: ReadonlyMap<SampledJob, Instant>,
  key: string,
): boolean => [...acceptedAt.keys()].some(({ id }) => id === key);

const outcomeOf = (
  { id, stepMs, terms }: SampledJob,
  acceptedAt: Instant,
  ends: ReadonlyMap<string, Instant>,
): Outcome => {
  const endedAt = ends.get(id);
  if (endedAt === undefined) return "worthless";
  const tookMs = endedAt - acceptedAt;
  const { stretch = 2, targetLatencyMs = 0 } = terms;
  const objectiveMs = stretch * sum(stepMs) + targetLatencyMs;
  if (tookMs <= objectiveMs) return "in-time";
  return tookMs <= MAX_USEFUL_LATENESS * objectiveMs ? "late" : "worthless";
};

const evaluate = (
  jobs: readonly SampledJob[],
  outcomes: ReadonlyMap<SampledJob, Outcome>,
  times: TaskTimes,
): BulkLoadResult => {
  const bulk = jobs.filter(({ isBulk }) => isBulk);
  const urgent = jobs.filter(({ isBulk }) => !isBulk);
  const meanWork = sum(bulk.map(({ work }) => work)) / bulk.length;
  const utilityOf = ({ work }: SampledJob): number =>
    Math.min(4, 0.3 + (0.7 * work) / meanWork);
  const earned = (job: SampledJob): number => {
    const outcome = outcomes.get(job);
    if (outcome === "in-time") return utilityOf(job);
    return outcome === "late" ? LATE_UTILITY * utilityOf(job) : 0;
  };
  const share = (some: readonly SampledJob[], outcome: Outcome): number =>
    some.filter((job) => outcomes.get(job) === outcome).length / some.length;
  const largest = [...bulk]
    .sort((a, b) => b.work - a.work)
    .slice(0, Math.ceil(bulk.length / 10));
  const used = (some: readonly SampledJob[]): number =>
    sum(some.map(({ id }) => times.usedByJob.get(id) ?? 0));
  const worthless = bulk.filter((job) => outcomes.get(job) === "worthless");
  const wasted = used(worthless) + times.discarded;
  const served = 1 - share(bulk, "worthless");
  return {
    inTime: share(bulk, "in-time"),
    late: share(bulk, "late"),
    worthless: share(bulk, "worthless"),
    utility: sum(bulk.map(earned)) / sum(bulk.map(utilityOf)),
    wastedCoreMs: wasted,
    wastedShare: wasted / used(bulk),
    largestServed: (1 - share(largest, "worthless")) / served,
    urgentInTime: share(urgent, "in-time"),
    usedRate: times.usedBulkWhileArriving / LOAD.arrivalMs,
  };
};

const sum = (values: readonly number[]): number =>
  values.reduce((total, value) => total + value, 0);
