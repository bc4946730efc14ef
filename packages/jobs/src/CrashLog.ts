/**
 * What is known of the runs of one task that were lost with their workers, and
 * whether that is enough to give the task up. A crashed worker lists no ends, so
 * no attempt counts for these; without this count a task that crashes its workers
 * is started again for ever, and takes all their other runs with it each time.
 */

import type { CrashEvidence } from "@rackspan/state";

/**
 * How much a lost run speaks against its task:
 * - `sole`: it had begun apart from other new runs, and its worker crashed;
 * - `doubted`: the same as `sole`, but other workers were lost at about that time;
 * - `young`: it had just begun when its worker crashed, as others may have;
 * - `unanswered`: the same as `sole`, but its worker had not shown the run before, or
 *   the run may have ended unheard of;
 * - `unknown`: it was announced, or ordered from a worker that did not answer any more,
 *   and nobody knows whether it began;
 * - `unseen`: its worker crashed before it showed the run, which may not have begun, or
 *   after it had worked for a while, so that it may have ended;
 * - `unheard`: its worker had shown the run and crashed, and nobody knows whether it was
 *   at work then: it may have ended unheard of;
 * - `settled`: it had worked for a while when its worker crashed;
 * - `lost`: its host fell silent until the lease was over.
 */
const POINTS: Readonly<Record<CrashEvidence, number>> = {
  sole: 4,
  // More than runs that share a worker: those of innocent tasks are lost three times.
  doubted: 5,
  young: 4,
  unanswered: 4,
  unseen: 2,
  // Four reach the limit: sides of busy workers seldom know more.
  unheard: 3,
  settled: 2,
  lost: 2,
  // Each change of leader between an announcement and its order leaves one.
  unknown: 1,
};

/**
 * All announcements without an order together: changes of leader alone must not give a
 * task up that only shared its workers with one that crashes them.
 */
const MAX_UNKNOWN_POINTS = 2;

export const CRASH_LIMITS = {
  /** A task with this much against it is announced to the store before it starts, and starts apart. */
  suspectPoints: 4,
  /** Crashes, one of them the task's alone, after which it is given up. */
  provenCrashes: 2,
  /**
   * Without such proof it is given up at this. Losses of hosts, which cuts bring about
   * as well, count for it once two workers are known to have crashed.
   */
  unprovenPoints: 12,
  /** Where no run is known to have been at work, points are enough with so many that began. */
  minStartedRuns: 4,
  /** The same with so many lost runs, of which some may never have begun. */
  minLostRuns: 5,
  /** Proof is doubted when another worker was lost within this of it, milliseconds. */
  correlatedLossMs: 1_500,
  /** A run that has worked for this long is not thought of first when its worker crashes, milliseconds. */
  settledMs: 500,
  /** A run is known to be at work up to this share of the time that it is expected to take. */
  maxAtWorkShare: 0.25,
  /** A run of a task that is suspected for the first time begins apart for this long, milliseconds. */
  isolationMs: 500,
  /** The same once it is suspected again, for tasks that crash their workers later. */
  longIsolationMs: 2_500,
  /** One that has waited this long takes a host that would be left to others, milliseconds. */
  isolationGraceMs: 2_000,
  /** A lasting task that has worked for this long starts with a clean log, milliseconds. */
  clearAfterMs: 60_000,
} as const;

/** Whether the worker is known to have crashed under the run, or only to have crashed. */
const CRASH_KIND: Readonly<
  Record<CrashEvidence, "under-run" | "of-worker" | "none">
> = {
  sole: "under-run",
  doubted: "under-run",
  young: "under-run",
  settled: "under-run",
  unanswered: "of-worker",
  unseen: "of-worker",
  unheard: "of-worker",
  unknown: "none",
  lost: "none",
};

/** Evidence of runs that had just begun. */
const EVIDENCE_AT_START: ReadonlySet<CrashEvidence> = new Set([
  "sole",
  "doubted",
  "unanswered",
  "young",
]);

export class CrashLog {
  /** By run. */
  private readonly evidenceByRun = new Map<number, CrashEvidence>();

  /** @param entries what was kept of a log before */
  constructor(entries: Iterable<readonly [number, CrashEvidence]> = []) {
    for (const [run, evidence] of entries) this.record(run, evidence);
  }

  record(run: number, evidence: CrashEvidence): void {
    this.evidenceByRun.set(run, evidence);
  }

  /** @returns whether anything was known of the run */
  remove(run: number): boolean {
    return this.evidenceByRun.delete(run);
  }

  evidenceOf(run: number): CrashEvidence | undefined {
    return this.evidenceByRun.get(run);
  }

  clear(): void {
    this.evidenceByRun.clear();
  }

  get isEmpty(): boolean {
    return this.evidenceByRun.size === 0;
  }

  get entries(): [number, CrashEvidence][] {
    return [...this.evidenceByRun];
  }

  get points(): number {
    const unknown = this.evidence.filter((one) => one === "unknown").length;
    const others = this.evidence.filter((one) => one !== "unknown");
    return others.reduce(
      (sum, one) => sum + POINTS[one],
      Math.min(MAX_UNKNOWN_POINTS, unknown * POINTS.unknown),
    );
  }

  /** How many workers are known to have crashed under the task. */
  get crashCount(): number {
    return this.evidence.filter((one) => CRASH_KIND[one] === "under-run")
      .length;
  }

  /** Whether the task is to be announced before it starts again. */
  get isSuspect(): boolean {
    return this.points >= CRASH_LIMITS.suspectPoints;
  }

  /** Whether no run of it is known to have crashed its worker just after its start. */
  get hasNoCrashAtStart(): boolean {
    return !this.evidence.some((one) => EVIDENCE_AT_START.has(one));
  }

  /** Whether the task is to be started no more. */
  get hasReachedLimit(): boolean {
    const { provenCrashes, unprovenPoints } = CRASH_LIMITS;
    const isProven = this.evidence.includes("sole");
    if (isProven && this.crashCount >= provenCrashes) return true;
    if (this.lostWorkers < provenCrashes) return false;
    if (this.points < unprovenPoints) return false;
    return this.crashCount > 0 || this.hasLostEnoughRuns;
  }

  /** Without announcements: each change of leader may leave one that was never ordered. */
  private get hasLostEnoughRuns(): boolean {
    const lost = this.evidence.filter((one) => one !== "unknown");
    const started = lost.filter((one) => one !== "unseen" && one !== "lost");
    return (
      started.length >= CRASH_LIMITS.minStartedRuns ||
      lost.length >= CRASH_LIMITS.minLostRuns
    );
  }

  /**
   * How many workers are known to have crashed while the task had a run there. Hosts
   * that only fell silent are no reason to give a task up: their workers may go on.
   */
  private get lostWorkers(): number {
    return this.evidence.filter((one) => CRASH_KIND[one] !== "none").length;
  }

  private get evidence(): CrashEvidence[] {
    return [...this.evidenceByRun.values()];
  }

  /** For how long the next run is to begin apart from others, milliseconds; 0 for not at all. */
  get isolationMs(): number {
    if (!this.isSuspect) return 0;
    return this.evidenceByRun.size > 1
      ? CRASH_LIMITS.longIsolationMs
      : CRASH_LIMITS.isolationMs;
  }
}
