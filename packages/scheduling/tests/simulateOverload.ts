/** Simulates more bulk work than a site can complete and measures the utility for its callers. */

import {
  SeededRandom,
  type Instant,
  type JobTaskId,
  type Random,
} from "@rackspan/common";
import type { RunRef } from "@rackspan/ports";
import {
  decodeProgress,
  parseTaskId,
  TOPICS,
  type JobId,
  type StepSpec,
} from "@rackspan/state";
import { EngineHarness, type FakeHost } from "./engineHarness.js";

const LOAD = {
  hosts: 24,
  /** Cores of a host. */
  cores: 64,
  /** Time during which jobs arrive, milliseconds. */
  arrivalMs: 34_000,
  /** Time after that until the results are evaluated, milliseconds. */
  settleMs: 30_000,
  stepMs: 100,
  /** Means of the random values, standard deviations of their logarithms, and maximums. */
  tasks: { mean: 20, spread: 0.6, max: 80 },
  taskCores: { mean: 7, spread: 0.3, max: 14 },
  taskMs: { mean: 2_400, spread: 0.5, max: 6_000 },
  estimateSpread: 0.5,
  steps: 2,
  /** Terms of a job's objective; see JobTerms. */
  stretch: 2,
  targetLatencyMs: 1_000,
} as const;

/** Utility of a job that ends late, relative to one that ends in time. */
const LATE_UTILITY = 0.15;
/** A job that ends later than this multiple of its objective has no utility. */
const MAX_USEFUL_LATENESS = 3;

export interface OverloadResult {
  /** Utility of the jobs that ended in time or late, as a share of the utility of all jobs. */
  readonly utilityShare: number;
  readonly inTime: number;
  readonly late: number;
  readonly unfinished: number;
  /** Share of the largest tenth of the jobs that ended in time or late. */
  readonly largestServedShare: number;
  /** The same share of all jobs. */
  readonly servedShare: number;
  /** Median time from a job's first start to its last, milliseconds, over the jobs that ended. */
  readonly medianSpanMs: number;
}

interface SampledJob {
  readonly id: string;
  readonly at: number;
  readonly steps: readonly Partial<StepSpec>[];
  readonly taskMs: readonly number[];
  /** Core-milliseconds. */
  readonly work: number;
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

const sampleJob = (random: Random, number: number, at: number): SampledJob => {
  const taskCount = Math.max(1, Math.round(sample(random, LOAD.tasks)));
  const milliCores = Math.round(1_000 * sample(random, LOAD.taskCores));
  const demand = { milliCores, memoryMiB: 100, accelerators: 0 };
  const steps: Partial<StepSpec>[] = [];
  const taskMs: number[] = [];
  let work = 0;
  for (let step = 0; step < LOAD.steps; step += 1) {
    const ms = sample(random, LOAD.taskMs);
    const estimateMs = ms * Math.exp(LOAD.estimateSpread * gaussian(random));
    const after = step === 0 ? [] : [step - 1];
    steps.push({ taskCount, demand, estimateMs, after });
    taskMs.push(ms);
    work += (taskCount * ms * milliCores) / 1_000;
  }
  const id = number.toString(16).padStart(16, "0");
  return { id, at, steps, taskMs, work };
};

/** @param load arriving work as a share of the capacity of the hosts */
const sampleJobs = (random: Random, load: number): SampledJob[] => {
  const jobs: SampledJob[] = [];
  const perMs = LOAD.hosts * LOAD.cores * load;
  for (let work = 0; work < perMs * LOAD.arrivalMs;) {
    const job = sampleJob(random, jobs.length, work / perMs);
    jobs.push(job);
    work += job.work;
  }
  return jobs;
};

/** Tracks when each run started, so that it ends after its duration. */
class TaskTimes {
  readonly firstAt = new Map<string, number>();
  readonly lastAt = new Map<string, number>();
  private readonly startTimes = new Map<string, number>();

  constructor(private readonly jobs: ReadonlyMap<string, SampledJob>) {}

  endDue(host: FakeHost, now: number): void {
    for (const { task, run } of host.runs) {
      const share =
        (now - this.startOf(host, { task, run }, now)) / this.msOf(task);
      if (share >= 1) host.end(task, "done", run);
      else host.setProgress(task, Math.floor(100 * share));
    }
  }

  private startOf(host: FakeHost, { task, run }: RunRef, now: number): number {
    const key = `${host.host}#${task}#${run}`;
    const known = this.startTimes.get(key);
    if (known !== undefined) return known;
    this.startTimes.set(key, now);
    const job = String(parseTaskId(task)?.job);
    if (!this.firstAt.has(job)) this.firstAt.set(job, now);
    this.lastAt.set(job, now);
    return now;
  }

  private msOf(task: JobTaskId): number {
    const position = parseTaskId(task);
    const job = position && this.jobs.get(String(position.job));
    return job?.taskMs[position?.step ?? 0] ?? 1;
  }
}

export interface OverloadOptions {
  /** Name of the step order. */
  readonly order: string;
  readonly seed: number;
  /** Arriving work as a share of the capacity of the hosts. */
  readonly load: number;
}

export const simulateOverload = async ({
  order,
  seed,
  load,
}: OverloadOptions): Promise<OverloadResult> => {
  const site = new EngineHarness({ order, terms: LOAD });
  for (let at = 1; at <= LOAD.hosts; at += 1) {
    const host = await site.addHost(`h${at}`);
    host.milliCores = LOAD.cores * 1_000;
    site.reportOf(host);
  }
  const sampledJobs = sampleJobs(new SeededRandom(seed), load);
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
      site.submit(job.id, job.steps);
      acceptedAt.set(job, clock.now());
    }
    for (const host of site.hosts) times.endDue(host, now);
    await site.run(LOAD.stepMs);
  }
  const outcomes = new Map(
    [...acceptedAt].map(([job, at]) => [job, outcomeOf(site, job, at)]),
  );
  return evaluate(sampledJobs, outcomes, times);
};

type Outcome = "in-time" | "late" | "undone";

const evaluate = (
  jobs: readonly SampledJob[],
  outcomes: ReadonlyMap<SampledJob, Outcome>,
  times: TaskTimes,
): OverloadResult => {
  const meanWork = sum(jobs.map(({ work }) => work)) / jobs.length;
  const utilityOf = ({ work }: SampledJob): number =>
    Math.min(4, 0.3 + (0.7 * work) / meanWork);
  const earnedUtility = (job: SampledJob): number => {
    const outcome = outcomes.get(job);
    if (outcome === "undone") return 0;
    return utilityOf(job) * (outcome === "late" ? LATE_UTILITY : 1);
  };
  const count = (outcome: Outcome): number =>
    [...outcomes.values()].filter((one) => one === outcome).length;
  const largest = [...jobs]
    .sort((a, b) => b.work - a.work)
    .slice(0, Math.ceil(jobs.length / 10));
  const isServed = (job: SampledJob): boolean => outcomes.get(job) !== "undone";
  const spans = jobs
    .filter(isServed)
    .map(({ id }) => (times.lastAt.get(id) ?? 0) - (times.firstAt.get(id) ?? 0))
    .sort((a, b) => a - b);
  return {
    utilityShare: sum(jobs.map(earnedUtility)) / sum(jobs.map(utilityOf)),
    inTime: count("in-time") / jobs.length,
    late: count("late") / jobs.length,
    unfinished: count("undone") / jobs.length,
    largestServedShare: largest.filter(isServed).length / largest.length,
    servedShare: jobs.filter(isServed).length / jobs.length,
    medianSpanMs: spans[Math.floor(spans.length / 2)] ?? 0,
  };
};

const outcomeOf = (
  site: EngineHarness,
  job: SampledJob,
  acceptedAt: Instant,
): Outcome => {
  const record = site.store
    .recordsOf(TOPICS.progress)
    .findLast(({ key }) => key === job.id);
  const id = job.id as unknown as JobId;
  const progress = record?.value && decodeProgress(id, record.value);
  if (progress?.state !== "completed") return "undone";
  const tookMs = progress.endedAt - acceptedAt;
  const objectiveMs = LOAD.stretch * sum(job.taskMs) + LOAD.targetLatencyMs;
  if (tookMs <= objectiveMs) return "in-time";
  return tookMs <= MAX_USEFUL_LATENESS * objectiveMs ? "late" : "undone";
};

const sum = (values: readonly number[]): number =>
  values.reduce((total, value) => total + value, 0);
