/**
 * Simulates callers of urgent and bulk jobs who ask for more than a site can do, with
 * several entries that decide on admission, and measures what becomes of their jobs.
 */

import {
  brand,
  SeededRandom,
  silentLogger,
  type JobTaskId,
  type Logger,
  type Monotonic,
  type Random,
} from "@rackspan/common";
import { AdmissionController } from "@rackspan/routing";
import {
  decodeProgress,
  isFinalState,
  isJobKey,
  LoadSummaryView,
  parseTaskId,
  TOPICS,
  type AcceptedJob,
  type QueueKey,
  type StepSpec,
} from "@rackspan/state";
import { plainJob } from "@rackspan/standins";
import { EngineHarness, type FakeHost } from "./engineHarness.js";

const SITE = { hosts: 14, cores: 64, entries: 3, stepMs: 100 } as const;
const CALLER = { retries: 4 } as const;
const LOAD = {
  arrivalMs: 30_000,
  /** Time for all accepted jobs to end, milliseconds. */
  maxSettleMs: 240_000,
  /** How many times as long a task of the tail takes. */
  tailFactor: 7,
} as const;
const LATE_FACTOR = 3;

interface Kind {
  readonly name: "urgent" | "bulk";
  readonly perSecond: number;
  readonly tasks: number;
  readonly steps: number;
  readonly milliCores: number;
  readonly taskMs: number;
  readonly priority: number;
  readonly stretch: number;
  readonly targetLatencyMs: number;
  readonly filling: boolean;
  /** Standard deviation of the logarithm of (estimate / run time). */
  readonly estimateSpread: number;
}

const KINDS: readonly Kind[] = [
  {
    name: "urgent",
    perSecond: 7,
    tasks: 10,
    steps: 2,
    milliCores: 750,
    taskMs: 1_300,
    priority: 0,
    stretch: 1.5,
    targetLatencyMs: 300,
    filling: false,
    estimateSpread: 0.5,
  },
  {
    name: "bulk",
    perSecond: 2.5,
    tasks: 20,
    steps: 2,
    milliCores: 3_500,
    taskMs: 2_200,
    priority: 2,
    stretch: 2,
    targetLatencyMs: 1_000,
    filling: true,
    estimateSpread: 0.6,
  },
];

export type Outcome =
  | "in-time"
  | "late"
  /** The last answer was a refusal. */
  | "refused"
  /** Accepted, but it ended too late to be of use. */
  | "in-vain"
  /** Accepted, and not ended at the end of the simulation. */
  | "lost";

interface SampledJob {
  readonly kind: Kind;
  readonly id: string;
  readonly at: number;
  readonly steps: readonly Partial<StepSpec>[];
  /** Run time of a task without the tail, by step, milliseconds. */
  readonly stepMs: readonly number[];
  readonly work: number;
  readonly entry: number;
}

interface Caller {
  readonly job: SampledJob;
  nextAt: Monotonic;
  refusals: number;
}

export interface AdmissionResult {
  /** Number of jobs by outcome. */
  readonly outcomes: Readonly<Record<Outcome, number>>;
  /** Share of jobs that were in time or late: of the largest tenth, and of all. */
  readonly largestServed: number;
  readonly served: number;
  /** Mean time from the arrival until the caller learned that the job is of no use, ms. */
  readonly meanVainMs: number;
  /** Refused at least once, then accepted and in time or late. */
  readonly servedAfterReturn: number;
}

export interface AdmissionOptions {
  readonly seed: number;
  /** Multiple of the usual arrival rates. */
  readonly bulkFactor: number;
  readonly urgentFactor: number;
  /** Share of tasks that take `LOAD.tailFactor` times as long. */
  readonly tailShare: number;
  readonly refusesHopeless: boolean;
  /** Receives the log of the leader; silent by default. */
  readonly logger?: Logger;
}

const gaussian = (random: Random): number =>
  Math.sqrt(-2 * Math.log(1 - random.next())) *
  Math.cos(2 * Math.PI * random.next());

const spread = (random: Random, mean: number, sigma: number): number =>
  mean * Math.exp(sigma * gaussian(random) - sigma ** 2 / 2);

const sampleJobs = (options: AdmissionOptions): SampledJob[] => {
  const jobs: SampledJob[] = [];
  for (const kind of KINDS) {
    const random = new SeededRandom(options.seed + kind.priority);
    const factor =
      kind.name === "bulk" ? options.bulkFactor : options.urgentFactor;
    const meanGapMs = 1_000 / (kind.perSecond * factor);
    let at = 0;
    for (;;) {
      at += -Math.log(1 - random.next()) * meanGapMs;
      if (at > LOAD.arrivalMs) break;
      jobs.push(sampleJob(random, kind, jobs.length, at));
    }
  }
  return jobs.sort((a, b) => a.at - b.at);
};

const sampleJob = (
  random: Random,
  kind: Kind,
  number: number,
  at: number,
): SampledJob => {
  const taskCount = Math.max(1, Math.round(spread(random, kind.tasks, 0.5)));
  const milliCores = Math.round(spread(random, kind.milliCores, 0.2));
  const demand = { milliCores, memoryMiB: 10, accelerators: 0 };
  const steps: Partial<StepSpec>[] = [];
  const stepMs: number[] = [];
  let work = 0;
  for (let step = 0; step < kind.steps; step += 1) {
    const ms = spread(random, kind.taskMs, 0.3);
    const estimateMs = ms * Math.exp(kind.estimateSpread * gaussian(random));
    const after = step === 0 ? [] : [step - 1];
    const { filling } = kind;
    steps.push({ taskCount, demand, estimateMs, after, filling });
    stepMs.push(ms);
    work += (taskCount * ms * milliCores) / 1_000;
  }
  const id = number.toString(16).padStart(16, "0");
  return { kind, id, at, steps, stepMs, work, entry: number % SITE.entries };
};

/**
 * Ends each run after its run time; the tail is chosen by the task, not by the run.
 * Filling tasks share what the plain tasks of their host leave.
 */
class RunTimes {
  /** Milliseconds of its run time that each run has done. */
  private readonly done = new Map<string, number>();

  constructor(
    private readonly jobs: ReadonlyMap<string, SampledJob>,
    private readonly options: AdmissionOptions,
  ) {}

  /** Lets the tasks of the host work for one step, and ends those that are done. */
  advance(host: FakeHost): void {
    const speed = this.fillingSpeed(host);
    for (const { task, run } of host.runs) {
      const key = `${task}#${run}`;
      const isFilling = this.jobOf(task)?.kind.filling ?? false;
      const workedMs = SITE.stepMs * (isFilling ? speed : 1);
      const doneMs = (this.done.get(key) ?? 0) + workedMs;
      this.done.set(key, doneMs);
      const share = doneMs / this.msOf(task);
      if (share >= 1) host.end(task, "done", run);
      else host.setProgress(task, Math.floor(100 * share));
    }
  }

  private fillingSpeed(host: FakeHost): number {
    const sums = { plain: 0, filling: 0 };
    for (const { task } of host.runs) {
      const job = this.jobOf(task);
      if (!job) continue;
      const milliCores = job.steps[0]?.demand?.milliCores ?? 0;
      sums[job.kind.filling ? "filling" : "plain"] += milliCores;
    }
    const left = Math.max(0, host.milliCores - sums.plain);
    return Math.min(1, left / Math.max(1, sums.filling));
  }

  private jobOf(task: JobTaskId): SampledJob | undefined {
    return this.jobs.get(String(parseTaskId(task)?.job));
  }

  private msOf(task: JobTaskId): number {
    const position = parseTaskId(task);
    const job = position && this.jobs.get(String(position.job));
    if (!job || !position) return 1;
    const { step, index } = position;
    const number = parseInt(job.id, 16) * 1_000 + step * 100 + index;
    const { seed, tailShare } = this.options;
    const isSlow = new SeededRandom(seed + number * 7_919).next() < tailShare;
    return (job.stepMs[step] ?? 1) * (isSlow ? LOAD.tailFactor : 1);
  }
}

export const simulateAdmission = async (
  options: AdmissionOptions,
): Promise<Readonly<Record<Kind["name"], AdmissionResult>>> => {
  const { refusesHopeless } = options;
  const site = new EngineHarness({
    order: "byWorth",
    policy: { overfillsFreeHosts: false },
    loadSummaryIntervalMs: refusesHopeless ? 500 : 0,
    logger: options.logger ?? silentLogger,
  });
  const { clock, metrics } = site;
  for (let at = 1; at <= SITE.hosts; at += 1) {
    const host = await site.addHost(`h${at}`);
    host.milliCores = SITE.cores * 1_000;
    site.reportOf(host);
  }
  const entries = Array.from({ length: SITE.entries }, () => {
    const logger = silentLogger;
    const summaries = new LoadSummaryView({
      clock,
      logger,
      onSummary: () => controller.handleSummary(),
    });
    const controller = new AdmissionController({
      refusesHopeless,
      maxSummaryAgeMs: 2_000,
      summaries,
      clock,
      logger,
      metrics,
    });
    return { summaries, controller };
  });
  const jobs = sampleJobs(options);
  const times = new RunTimes(
    new Map(jobs.map((job) => [job.id, job])),
    options,
  );
  const startedAt = clock.monotonic();
  const callers: Caller[] = jobs.map((job) => ({
    job,
    nextAt: startedAt + job.at,
    refusals: 0,
  }));
  const acceptedAt = new Map<SampledJob, Monotonic>();
  const givenUpAt = new Map<SampledJob, Monotonic>();
  const endedAt = new Map<string, Monotonic>();
  let read = 0;
  const isOver = (): boolean =>
    acceptedAt.size + givenUpAt.size === jobs.length &&
    endedAt.size === acceptedAt.size;
  const lastAt = startedAt + LOAD.arrivalMs + LOAD.maxSettleMs;
  while (!isOver() && clock.monotonic() < lastAt) {
    const now = clock.monotonic();
    const records = site.store.recordsOf(TOPICS.progress).slice(read);
    read += records.length;
    for (const { summaries } of entries)
      summaries.applyProgressRecords(records);
    for (const { key, value } of records) {
      if (!value || !isJobKey(key)) continue;
      if (isFinalState(decodeProgress(key, value).state)) endedAt.set(key, now);
    }
    const due = callers
      .filter(({ nextAt }) => nextAt <= now)
      .sort((a, b) => a.nextAt - b.nextAt);
    for (const caller of due) {
      const { job } = caller;
      const accepted = acceptedJobOf(job, clock.now());
      const { controller } = entries[job.entry] as (typeof entries)[0];
      const refusal = controller.admit(accepted.spec, accepted.terms);
      caller.nextAt = Infinity;
      if (!refusal) {
        acceptedAt.set(job, now);
        site.engine.addJob(accepted, undefined);
        for (const each of entries) each.controller.handleAccepted(accepted);
        continue;
      }
      caller.refusals += 1;
      if (caller.refusals > CALLER.retries) givenUpAt.set(job, now);
      else caller.nextAt = now + refusal.retryAfterMs;
    }
    for (const host of site.hosts) times.advance(host);
    await site.run(SITE.stepMs);
  }
  const results = callers.map((caller): CallerResult => {
    const { job, refusals } = caller;
    const arrivedAt = startedAt + job.at;
    const refusedAt = givenUpAt.get(job);
    if (refusedAt !== undefined)
      return {
        job,
        refusals,
        outcome: "refused",
        tookMs: refusedAt - arrivedAt,
      };
    const end = endedAt.get(job.id);
    if (end === undefined) return { job, refusals, outcome: "lost", tookMs: 0 };
    const tookMs = end - arrivedAt;
    return { job, refusals, outcome: outcomeOf(job, tookMs), tookMs };
  });
  return {
    urgent: evaluate(results.filter(({ job }) => job.kind.name === "urgent")),
    bulk: evaluate(results.filter(({ job }) => job.kind.name === "bulk")),
  };
};

interface CallerResult {
  readonly job: SampledJob;
  readonly refusals: number;
  readonly outcome: Outcome;
  readonly tookMs: number;
}

const acceptedJobOf = (job: SampledJob, now: number): AcceptedJob => {
  const { priority, stretch, targetLatencyMs, name } = job.kind;
  const terms = { priority, stretch, targetLatencyMs };
  const { id, steps } = job;
  const plain = plainJob({ id, steps, acceptedAt: now, terms });
  const queue = brand<QueueKey>(`calls.example/${name}/`);
  return { ...plain, spec: { ...plain.spec, queue } };
};

/** Counted from the first arrival, as the caller sees it. */
const outcomeOf = ({ kind, stepMs }: SampledJob, tookMs: number): Outcome => {
  const chainMs = stepMs.reduce((sum, ms) => sum + ms, 0);
  const objectiveMs = kind.stretch * chainMs + kind.targetLatencyMs;
  if (tookMs <= objectiveMs) return "in-time";
  return tookMs <= LATE_FACTOR * objectiveMs ? "late" : "in-vain";
};

const evaluate = (results: readonly CallerResult[]): AdmissionResult => {
  const count = (outcome: Outcome): number =>
    results.filter((each) => each.outcome === outcome).length;
  const isServed = ({ outcome }: CallerResult): boolean =>
    outcome === "in-time" || outcome === "late";
  const largest = [...results]
    .sort((a, b) => b.job.work - a.job.work)
    .slice(0, Math.ceil(results.length / 10));
  const vain = results.filter(
    ({ outcome }) => outcome === "refused" || outcome === "in-vain",
  );
  const sum = vain.reduce((total, { tookMs }) => total + tookMs, 0);
  return {
    outcomes: {
      "in-time": count("in-time"),
      late: count("late"),
      refused: count("refused"),
      "in-vain": count("in-vain"),
      lost: count("lost"),
    },
    largestServed: largest.filter(isServed).length / largest.length,
    served: results.filter(isServed).length / results.length,
    meanVainMs: vain.length === 0 ? 0 : sum / vain.length,
    servedAfterReturn: results.filter(
      (each) => each.refusals > 0 && isServed(each),
    ).length,
  };
};
