/**
 * Which runs may be under way at the worker, and which were lost with its former
 * lives. The worker forgets them when it crashes, and a leader that ends with it
 * tells nobody; this process outlives both, so that the next leader can count them.
 */

import {
  type Clock,
  type Monotonic,
  type WorkerInstance,
  type WorkerTime,
} from "@rackspan/common";
import { runKeyOf, type PollResponse, type RunRef } from "@rackspan/ports";
import type { LostRun } from "@rackspan/protocol";
import { BoundedMap } from "@rackspan/state";

const MEMORY = {
  /** Lives that may be the present one; see WorkerRegistry. */
  maxLives: 9,
  /** Runs that were lost and that no leader has heard of; the oldest are forgotten. */
  maxLost: 512,
  /** An order that the worker has not shown by then has lapsed, milliseconds. */
  unshownMs: 4_000,
} as const;

/** Told of a run that this process did not order: it may have begun at any time. */
const UNKNOWN_MS = Number.MAX_SAFE_INTEGER;

interface BegunRun {
  readonly ref: RunRef;
  /** When it was ordered or first listed, on the side's clock. */
  readonly orderedAt: Monotonic;
  /** Whether this process ordered it. */
  readonly isOwn: boolean;
  shownFirstAt: WorkerTime | undefined;
  shownLastAt: WorkerTime | undefined;
}

interface WorkerLife {
  /** By run. */
  readonly runs: Map<string, BegunRun>;
  /** Ends in the newest list: the worker lists each until it is acknowledged. */
  ended: readonly RunRef[];
  /**
   * When the call broke off in which the worker would have told of an end, on the
   * side's clock; undefined while calls are answered.
   */
  lookBrokenAt: Monotonic | undefined;
  /** Since when looks get no answer, on the side's clock; undefined while they do. */
  silentSince: Monotonic | undefined;
}

export class WorkerRunTracker {
  private readonly lives = new BoundedMap<WorkerInstance, WorkerLife>(
    MEMORY.maxLives,
  );
  /** By run. */
  private readonly lost = new BoundedMap<string, LostRun>(MEMORY.maxLost);
  /** Of the lost runs those that never began, of which no leader has taken note; by run. */
  private readonly notBegun = new BoundedMap<string, RunRef>(MEMORY.maxLost);
  /** Runs that had ended before their lives did, of which no leader has taken note; by run. */
  private readonly ended = new BoundedMap<string, RunRef>(MEMORY.maxLost);
  /** Runs whose orders are being repeated. */
  private readonly openOrders = new Set<string>();

  constructor(private readonly clock: Clock) {}

  /** The worker is about to be told to start it. */
  recordOrdered(instance: WorkerInstance, ref: RunRef): void {
    const runs = this.runsOf(instance);
    const key = runKeyOf(ref);
    if (!runs.has(key)) runs.set(key, this.begun(ref, true));
  }

  /** The order to start it is repeated until it is answered, or given up. */
  recordOrderOpen(ref: RunRef): void {
    this.openOrders.add(runKeyOf(ref));
  }

  recordOrderClosed(ref: RunRef): void {
    this.openOrders.delete(runKeyOf(ref));
  }

  /** The worker has said that the run is there. */
  recordStarted(instance: WorkerInstance, ref: RunRef, at: WorkerTime): void {
    const life = this.lifeOf(instance);
    life.silentSince = undefined;
    const run = life.runs.get(runKeyOf(ref));
    if (!run) return;
    run.shownFirstAt ??= at;
    run.shownLastAt = at;
  }

  /** The run has not begun, and never will; its life may have ended meanwhile. */
  recordRefused(instance: WorkerInstance, ref: RunRef): void {
    const key = runKeyOf(ref);
    this.lives.get(instance)?.runs.delete(key);
    if (!this.lost.get(key)) return;
    this.lost.delete(key);
    this.notBegun.set(key, { task: ref.task, run: ref.run });
  }

  /** @param askedAt when the worker was asked for these lists, on the side's clock */
  recordListed(
    instance: WorkerInstance,
    { at, running, ended }: PollResponse,
    askedAt: Monotonic,
  ): void {
    const life = this.lifeOf(instance);
    life.lookBrokenAt = undefined;
    life.silentSince = undefined;
    const { runs } = life;
    const listed = new Set(running.map(runKeyOf));
    for (const row of running) {
      const { task, run } = row;
      const known = runs.get(runKeyOf(row)) ?? this.begun({ task, run }, false);
      known.shownFirstAt ??= at;
      known.shownLastAt = at;
      runs.set(runKeyOf(row), known);
    }
    for (const row of ended) runs.delete(runKeyOf(row));
    life.ended = ended.map(({ task, run }) => ({ task, run }));
    for (const [key, { shownLastAt, orderedAt }] of runs) {
      if (listed.has(key)) continue;
      const hasLapsed = askedAt - orderedAt > MEMORY.unshownMs;
      // Lists that were on their way when it started do not tell of it.
      const hasEnded = shownLastAt !== undefined && at > shownLastAt;
      if (hasEnded || hasLapsed) runs.delete(key);
    }
  }

  /**
   * The worker was being looked at, and would have answered at once had a run ended;
   * the connection broke off instead. If its life has ended, its runs were at work, but
   * for those that had ended while the look or its answer was held up on its way.
   */
  recordPollInterrupted(instance: WorkerInstance): void {
    this.lifeOf(instance).lookBrokenAt = this.clock.monotonic();
  }

  /** The worker has not answered a look. */
  recordSilent(instance: WorkerInstance): void {
    this.lifeOf(instance).silentSince ??= this.clock.monotonic();
  }

  /** @param wasPlanned whether the worker had said that it would leave */
  endIncarnation(instance: WorkerInstance, wasPlanned: boolean): void {
    const life = this.lives.get(instance);
    if (!life) return;
    this.lives.delete(instance);
    if (wasPlanned) return;
    for (const ref of life.ended) this.ended.set(runKeyOf(ref), ref);
    for (const [key, run] of life.runs) {
      this.lost.set(key, toLost(run, life));
    }
  }

  /** Lost runs that no leader has answered for yet. */
  get unreportedLostRuns(): readonly LostRun[] {
    return [...this.lost].map(([key, run]) =>
      this.openOrders.has(key) ? { ...run, isOrderOpen: true } : run,
    );
  }

  /** Runs that had ended before their lives did, of which no leader has taken note yet. */
  get unreportedEnds(): readonly RunRef[] {
    return [...this.ended].map(([, ref]) => ref);
  }

  /** Lost runs that never began, of which no leader has taken note yet. */
  get unreportedNeverBegun(): readonly RunRef[] {
    return [...this.notBegun].map(([, ref]) => ref);
  }

  /** A leader has taken note of them; of those with an open order the rest is to come. */
  markLostRunsReported(told: readonly LostRun[]): void {
    for (const run of told) {
      if (!run.isOrderOpen) this.lost.delete(runKeyOf(run));
    }
  }

  /** A leader has taken note of them. */
  markEndsReported(told: readonly RunRef[]): void {
    for (const ref of told) this.ended.delete(runKeyOf(ref));
  }

  /** A leader has taken note of them. */
  markNeverBegunReported(told: readonly RunRef[]): void {
    for (const ref of told) this.notBegun.delete(runKeyOf(ref));
  }

  private begun(ref: RunRef, isOwn: boolean): BegunRun {
    return {
      ref: { task: ref.task, run: ref.run },
      orderedAt: this.clock.monotonic(),
      isOwn,
      shownFirstAt: undefined,
      shownLastAt: undefined,
    };
  }

  private runsOf(instance: WorkerInstance): Map<string, BegunRun> {
    return this.lifeOf(instance).runs;
  }

  private lifeOf(instance: WorkerInstance): WorkerLife {
    const known = this.lives.get(instance);
    if (known) return known;
    const life: WorkerLife = {
      runs: new Map(),
      ended: [],
      lookBrokenAt: undefined,
      silentSince: undefined,
    };
    this.lives.set(instance, life);
    return life;
  }
}

const toLost = (
  run: BegunRun,
  { lookBrokenAt, silentSince = Infinity }: WorkerLife,
): LostRun => {
  const { ref, orderedAt, shownFirstAt, shownLastAt } = run;
  if (shownFirstAt === undefined && orderedAt > silentSince) {
    return { ...ref, wasAtWork: false, orderedMs: silentSince - orderedAt };
  }
  const workedMs =
    shownFirstAt === undefined || shownLastAt === undefined
      ? undefined
      : shownLastAt - shownFirstAt;
  if (lookBrokenAt === undefined) return { ...ref, workedMs, wasAtWork: false };
  const orderedMs = run.isOwn ? lookBrokenAt - orderedAt : UNKNOWN_MS;
  return { ...ref, workedMs, wasAtWork: true, orderedMs };
};
