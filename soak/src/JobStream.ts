/** Submits jobs, some of which always fail or are cancelled, until it is stopped. */

import { setTimeout as delay } from "node:timers/promises";
import { pickIndex, type Random } from "@rackspan/common";
import type { JobClient } from "./JobClient.js";
import { derivedRandom } from "./derivedRandom.js";

const JOB_STREAM = {
  /** Mean interval between two jobs, milliseconds. */
  meanIntervalMs: 170,
  /** Shares of these kinds among the jobs that do not fail. */
  cancelledShare: 0.2,
  lastingShare: 0.08,
  /** Longest time between the acceptance of a job and its cancellation, milliseconds. */
  maxCancelDelayMs: 3_000,
  steps: { min: 2, range: 3 },
  tasks: { min: 6, range: 3 },
  runMs: { min: 60, range: 600 },
} as const;

/** Tasks of a failing job that always fail, as `STEP.INDEX`; several use up their attempts concurrently. */
const FAILING_TASKS = ["0.0", "0.2", "0.4"];

/** Tasks of a crashing job that crash their worker, as `STEP.INDEX`. */
const CRASHING_TASKS = ["0.0"];

export type JobKind =
  "plain" | "failing" | "crashing" | "cancelled" | "lasting";

export interface StreamedJob {
  readonly id: string;
  readonly kind: JobKind;
  isAccepted: boolean;
  isCancelled: boolean;
}

export interface JobStreamOptions {
  readonly seed: number;
  readonly clients: readonly JobClient[];
  /** Share of all jobs that have tasks that always fail. */
  readonly failingShare: number;
  /** Share of the other jobs that have a task that crashes every worker that starts it. */
  readonly crashingShare: number;
}

export class JobStream {
  readonly jobs: StreamedJob[] = [];
  private readonly random: Random;
  private readonly pending = new Set<Promise<void>>();
  private isStopped = false;

  constructor(private readonly options: JobStreamOptions) {
    this.random = derivedRandom(options.seed, "jobs");
  }

  async run(): Promise<void> {
    while (!this.isStopped) {
      const work = this.drawJob()();
      this.pending.add(work);
      void work.finally(() => this.pending.delete(work));
      await delay(JOB_STREAM.meanIntervalMs * 2 * this.random.next());
    }
  }

  /** Submits no more jobs, and waits for the pending submissions and cancellations. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await Promise.all(this.pending);
  }

  private drawJob(): () => Promise<void> {
    const { random } = this;
    const { seed, clients, failingShare } = this.options;
    const fails = random.next() < failingShare;
    const kind = fails ? "failing" : this.drawKind();
    const job: StreamedJob = {
      id: jobIdOf(seed, this.jobs.length),
      kind,
      isAccepted: false,
      isCancelled: false,
    };
    this.jobs.push(job);
    const client = clients[pickIndex(random, clients.length)];
    const body = drawBody(kind, random);
    const cancelAfterMs = random.next() * JOB_STREAM.maxCancelDelayMs;
    return async () => {
      if (!client) return;
      job.isAccepted = (await client.submit(job.id, body)) === true;
      if (kind !== "cancelled" && kind !== "lasting") return;
      await delay(cancelAfterMs);
      job.isCancelled = await client.cancel(job.id);
    };
  }

  /** @returns the kind of a job that is not of the kind `failing` */
  private drawKind(): JobKind {
    const { random, options } = this;
    const { crashingShare } = options;
    // Drawn only if crashing jobs are enabled, so that the other draws of existing seeds stay the same.
    if (crashingShare > 0 && random.next() < crashingShare) return "crashing";
    return kindOf(random.next());
  }
}

const kindOf = (draw: number): JobKind => {
  if (draw < JOB_STREAM.cancelledShare) return "cancelled";
  if (draw < JOB_STREAM.cancelledShare + JOB_STREAM.lastingShare)
    return "lasting";
  return "plain";
};

const drawBody = (kind: JobKind, random: Random): object => {
  const ms = drawBetween(JOB_STREAM.runMs, random);
  const count = drawBetween(JOB_STREAM.steps, random);
  const isLasting = kind === "lasting";
  const steps = Array.from({ length: isLasting ? 1 : count }, (_, at) => ({
    count: isLasting ? 2 : drawBetween(JOB_STREAM.tasks, random),
    cpu: isLasting ? 100 : 1_000,
    mem_mb: 100,
    estimate_ms: ms,
    long_running: isLasting,
    ...(at > 0 && { after_rev: [at - 1] }),
  }));
  const failing = kind === "failing" ? FAILING_TASKS : [];
  const crashing = kind === "crashing" ? CRASHING_TASKS : [];
  const work = { ms, failing, crashing, lasts: isLasting };
  return { spec: JSON.stringify(work), steps };
};

const drawBetween = (
  { min, range }: { readonly min: number; readonly range: number },
  random: Random,
): number => min + pickIndex(random, range);

/** @returns 16 hex digits */
const jobIdOf = (seed: number, number: number): string =>
  seed.toString(16).padStart(8, "0") + number.toString(16).padStart(8, "0");
