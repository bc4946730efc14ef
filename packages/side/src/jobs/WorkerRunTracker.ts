/**
 * Tracks which runs may be in progress at the worker, and which were lost with its previous
 * incarnations. The worker loses this state when it crashes, and a leader that ends at the
 * same time hands nothing on. This process survives both, so the next leader can count the
 * lost runs.
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

const LIMITS = {
  /** Incarnations that may be the current one; see WorkerRegistry. */
  maxIncarnations: 9,
  /** Lost runs that no leader has recorded; the oldest are dropped. */
  maxLost: 512,
  /** An ordered run that the worker does not list within this time has lapsed, milliseconds. */
  unlistedMs: 4_000,
} as const;

/** Reported for a run that this process did not order: it may have started at any time. */
const UNKNOWN_MS = Number.MAX_SAFE_INTEGER;

interface TrackedRun {
  readonly ref: RunRef;
  /** When the run was ordered or first listed, on the side's clock. */
  readonly orderedAt: Monotonic;
  /** Whether this process ordered the run. */
  readonly isOwn: boolean;
  firstSeenAt: WorkerTime | undefined;
  lastSeenAt: WorkerTime | undefined;
}

interface IncarnationState {
  /** By run. */
  readonly runs: Map<string, TrackedRun>;
  /** Ends in the newest list. The worker lists each end until it is acknowledged. */
  ended: readonly RunRef[];
  /**
   * When the poll was interrupted in which the worker would have reported an end, on the
   * side's clock; undefined while polls are answered.
   */
  pollInterruptedAt: Monotonic | undefined;
  /** When polls stopped being answered, on the side's clock; undefined while they are answered. */
  silentSince: Monotonic | undefined;
}

export class WorkerRunTracker {
  private readonly incarnations = new BoundedMap<
    WorkerInstance,
    IncarnationState
  >(LIMITS.maxIncarnations);
  /** By run. */
  private readonly lost = new BoundedMap<string, LostRun>(LIMITS.maxLost);
  /** Lost runs that never began and that no leader has recorded as such, by run. */
  private readonly neverBegun = new BoundedMap<string, RunRef>(LIMITS.maxLost);
  /** Runs that ended before their incarnations did and that no leader has recorded, by run. */
  private readonly ended = new BoundedMap<string, RunRef>(LIMITS.maxLost);
  /** Runs whose start orders are being repeated. */
  private readonly openOrders = new Set<string>();

  constructor(private readonly clock: Clock) {}

  /** Records that a start order for the run is about to be sent. */
  recordOrdered(instance: WorkerInstance, ref: RunRef): void {
    const runs = this.runsOf(instance);
    const key = runKeyOf(ref);
    if (!runs.has(key)) runs.set(key, this.newTrackedRun(ref, true));
  }

  /** Records that the start order is repeated until it is answered or times out. */
  recordOrderOpen(ref: RunRef): void {
    this.openOrders.add(runKeyOf(ref));
  }

  recordOrderClosed(ref: RunRef): void {
    this.openOrders.delete(runKeyOf(ref));
  }

  /** Records that the worker has confirmed the start of the run. */
  recordStarted(instance: WorkerInstance, ref: RunRef, at: WorkerTime): void {
    const state = this.stateOf(instance);
    state.silentSince = undefined;
    const run = state.runs.get(runKeyOf(ref));
    if (!run) return;
    run.firstSeenAt ??= at;
    run.lastSeenAt = at;
  }

  /** Records that the run has not begun and never will; its incarnation may have ended meanwhile. */
  recordRefused(instance: WorkerInstance, ref: RunRef): void {
    const key = runKeyOf(ref);
    this.incarnations.get(instance)?.runs.delete(key);
    if (!this.lost.get(key)) return;
    this.lost.delete(key);
    this.neverBegun.set(key, { task: ref.task, run: ref.run });
  }

  /** @param polledAt when the poll that returned these lists was sent, on the side's clock */
  recordListed(
    instance: WorkerInstance,
    { at, running, ended }: PollResponse,
    polledAt: Monotonic,
  ): void {
    const state = this.stateOf(instance);
    state.pollInterruptedAt = undefined;
    state.silentSince = undefined;
    const { runs } = state;
    const listed = new Set(running.map(runKeyOf));
    for (const row of running) {
      const { task, run } = row;
      const known =
        runs.get(runKeyOf(row)) ?? this.newTrackedRun({ task, run }, false);
      known.firstSeenAt ??= at;
      known.lastSeenAt = at;
      runs.set(runKeyOf(row), known);
    }
    for (const row of ended) runs.delete(runKeyOf(row));
    state.ended = ended.map(({ task, run }) => ({ task, run }));
    for (const [key, { lastSeenAt, orderedAt }] of runs) {
      if (listed.has(key)) continue;
      const hasLapsed = polledAt - orderedAt > LIMITS.unlistedMs;
      // A list that was in flight when the run started does not contain it.
      const hasEnded = lastSeenAt !== undefined && at > lastSeenAt;
      if (hasEnded || hasLapsed) runs.delete(key);
    }
  }

  /**
   * Records that a poll was interrupted while the worker held it and would have answered at
   * once if a run had ended. If the incarnation has ended, its runs were at work, except for
   * those that ended while the poll or its response was delayed on the network.
   */
  recordPollInterrupted(instance: WorkerInstance): void {
    this.stateOf(instance).pollInterruptedAt = this.clock.monotonic();
  }

  /** Records that the worker has not answered a poll. */
  recordSilent(instance: WorkerInstance): void {
    this.stateOf(instance).silentSince ??= this.clock.monotonic();
  }

  /** @param wasPlanned whether the worker had announced that it would leave */
  endIncarnation(instance: WorkerInstance, wasPlanned: boolean): void {
    const state = this.incarnations.get(instance);
    if (!state) return;
    this.incarnations.delete(instance);
    if (wasPlanned) return;
    for (const ref of state.ended) this.ended.set(runKeyOf(ref), ref);
    for (const [key, run] of state.runs) {
      this.lost.set(key, toLostRun(run, state));
    }
  }

  /** Lost runs that no leader has recorded yet. */
  get unreportedLostRuns(): readonly LostRun[] {
    return [...this.lost].map(([key, run]) =>
      this.openOrders.has(key) ? { ...run, isOrderOpen: true } : run,
    );
  }

  /** Runs that ended before their incarnations did and that no leader has recorded yet. */
  get unreportedEnds(): readonly RunRef[] {
    return [...this.ended].map(([, ref]) => ref);
  }

  /** Lost runs that never began and that no leader has recorded as such yet. */
  get unreportedNeverBegun(): readonly RunRef[] {
    return [...this.neverBegun].map(([, ref]) => ref);
  }

  /** A leader has recorded them. Runs with an open order stay, since their outcome is not final. */
  markLostRunsReported(reported: readonly LostRun[]): void {
    for (const run of reported) {
      if (!run.isOrderOpen) this.lost.delete(runKeyOf(run));
    }
  }

  /** A leader has recorded these ends. */
  markEndsReported(reported: readonly RunRef[]): void {
    for (const ref of reported) this.ended.delete(runKeyOf(ref));
  }

  /** A leader has recorded that these runs never began. */
  markNeverBegunReported(reported: readonly RunRef[]): void {
    for (const ref of reported) this.neverBegun.delete(runKeyOf(ref));
  }

  private newTrackedRun(ref: RunRef, isOwn: boolean): TrackedRun {
    return {
      ref: { task: ref.task, run: ref.run },
      orderedAt: this.clock.monotonic(),
      isOwn,
      firstSeenAt: undefined,
      lastSeenAt: undefined,
    };
  }

  private runsOf(instance: WorkerInstance): Map<string, TrackedRun> {
    return this.stateOf(instance).runs;
  }

  private stateOf(instance: WorkerInstance): IncarnationState {
    const known = this.incarnations.get(instance);
    if (known) return known;
    const state: IncarnationState = {
      runs: new Map(),
      ended: [],
      pollInterruptedAt: undefined,
      silentSince: undefined,
    };
    this.incarnations.set(instance, state);
    return state;
  }
}

const toLostRun = (
  run: TrackedRun,
  { pollInterruptedAt, silentSince = Infinity }: IncarnationState,
): LostRun => {
  const { ref, orderedAt, firstSeenAt, lastSeenAt } = run;
  if (firstSeenAt === undefined && orderedAt > silentSince) {
    return { ...ref, wasAtWork: false, orderedMs: silentSince - orderedAt };
  }
  const workedMs =
    firstSeenAt === undefined || lastSeenAt === undefined
      ? undefined
      : lastSeenAt - firstSeenAt;
  if (pollInterruptedAt === undefined)
    return { ...ref, workedMs, wasAtWork: false };
  const orderedMs = run.isOwn ? pollInterruptedAt - orderedAt : UNKNOWN_MS;
  return { ...ref, workedMs, wasAtWork: true, orderedMs };
};
