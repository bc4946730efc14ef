/**
 * Evidence from the runs of one task that were lost with their workers, and whether it
 * suffices to fail the task permanently. A crashed worker reports no ends, so these runs
 * do not count as attempts. Without this log a task that crashes its workers would be
 * restarted forever, and would end all other runs on them each time.
 */

import type { CrashEvidence } from "@rackspan/state";

/**
 * Points per lost run, by kind of evidence:
 * - `sole`: the run was isolated when its worker crashed;
 * - `doubted`: as `sole`, but other workers were lost at about the same time;
 * - `young`: the run had just started when its worker crashed, as others there may have;
 * - `unanswered`: as `sole`, but the worker had not reported the run before, or the run
 *   may have ended unreported;
 * - `unknown`: the run is named by a write-ahead record or was ordered from a worker that
 *   no longer answered, and it is not known whether it started;
 * - `unseen`: the worker crashed before it reported the run, which may not have started,
 *   or after the run had worked for a while, so that it may have ended;
 * - `unheard`: the worker had reported the run and crashed, and it is not known whether
 *   the run was still at work: it may have ended unreported;
 * - `settled`: the run had worked for a while when its worker crashed;
 * - `lost`: the host was silent until its lease expired.
 */
const POINTS: Readonly<Record<CrashEvidence, number>> = {
  sole: 4,
  // More than `young`: tasks that only share workers with a crashing one lose three runs.
  doubted: 5,
  young: 4,
  unanswered: 4,
  unseen: 2,
  // Four reach the limit: sides of busy workers seldom have better evidence.
  unheard: 3,
  settled: 2,
  lost: 2,
  // Each change of leader between a write-ahead record and its order leaves one.
  unknown: 1,
};

/**
 * Limit for the sum of all `unknown` points: changes of leader alone must not fail a task
 * that only shared its workers with a crashing one.
 */
const MAX_UNKNOWN_POINTS = 2;

export const CRASH_LIMITS = {
  /** From this number of points a task is suspect: its starts are isolated, after a write-ahead record. */
  suspectPoints: 4,
  /** A task fails permanently after this many crashes, at least one of them `sole`. */
  provenCrashes: 2,
  /**
   * Without such proof a task fails permanently at this number of points. Losses of hosts,
   * which network partitions cause as well, count only if at least `provenCrashes` workers
   * are known to have crashed.
   */
  unprovenPoints: 12,
  /**
   * If no run is known to have been at work when its worker crashed, this many lost runs
   * must have started in addition to the points.
   */
  minStartedRuns: 4,
  /** Alternative to `minStartedRuns`: this many lost runs, some of which may not have started. */
  minLostRuns: 5,
  /** `sole` becomes `doubted` if another worker was lost within this time, milliseconds. */
  correlatedLossMs: 1_500,
  /** After this working time a run is an unlikely cause of a crash of its worker, milliseconds. */
  settledMs: 500,
  /** Up to this share of its expected duration a run counts as at work when its worker is lost. */
  maxAtWorkShare: 0.25,
  /** How long a run is isolated if its task is suspect because of one lost run, milliseconds. */
  isolationMs: 500,
  /** The same after several lost runs, for tasks that crash their workers later. */
  longIsolationMs: 2_500,
  /** Grace period after which an isolated start may take a host that would be left to others, milliseconds. */
  isolationGraceMs: 2_000,
  /** After this working time the crash log of a lasting task is cleared, milliseconds. */
  clearAfterMs: 60_000,
} as const;

/** Whether the worker is known to have crashed during the run, or only known to have crashed. */
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

/** Evidence from runs that had just started. */
const EVIDENCE_AT_START: ReadonlySet<CrashEvidence> = new Set([
  "sole",
  "doubted",
  "unanswered",
  "young",
]);

/** What contains a crash log, and persists it. */
export interface CrashLogOwner {
  markChanged(): void;
}

export class CrashLog {
  /** By run. */
  private readonly evidenceByRun = new Map<number, CrashEvidence>();

  /** @param entries the entries of a persisted log */
  constructor(
    entries: Iterable<readonly [number, CrashEvidence]> = [],
    private readonly owner?: CrashLogOwner,
  ) {
    for (const [run, evidence] of entries) this.record(run, evidence);
  }

  record(run: number, evidence: CrashEvidence): void {
    this.evidenceByRun.set(run, evidence);
    this.owner?.markChanged();
  }

  /** @returns whether the log had evidence from the run */
  remove(run: number): boolean {
    this.owner?.markChanged();
    return this.evidenceByRun.delete(run);
  }

  evidenceOf(run: number): CrashEvidence | undefined {
    return this.evidenceByRun.get(run);
  }

  clear(): void {
    this.evidenceByRun.clear();
    this.owner?.markChanged();
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

  /** Number of workers that are known to have crashed during a run of the task. */
  get crashCount(): number {
    return this.evidence.filter((one) => CRASH_KIND[one] === "under-run")
      .length;
  }

  /** Whether the task needs a write-ahead record and an isolated start. */
  get isSuspect(): boolean {
    return this.points >= CRASH_LIMITS.suspectPoints;
  }

  /** Whether no worker crashed just after the start of one of its runs. */
  get hasNoCrashAtStart(): boolean {
    return !this.evidence.some((one) => EVIDENCE_AT_START.has(one));
  }

  /** Whether the evidence suffices to fail the task permanently. */
  get hasReachedLimit(): boolean {
    const { provenCrashes, unprovenPoints } = CRASH_LIMITS;
    const isProven = this.evidence.includes("sole");
    if (isProven && this.crashCount >= provenCrashes) return true;
    if (this.lostWorkers < provenCrashes) return false;
    if (this.points < unprovenPoints) return false;
    return this.crashCount > 0 || this.hasLostEnoughRuns;
  }

  /**
   * Whether enough runs were lost. `unknown` does not count: each change of leader may
   * leave a write-ahead record of a run that was never ordered.
   */
  private get hasLostEnoughRuns(): boolean {
    const lost = this.evidence.filter((one) => one !== "unknown");
    const started = lost.filter((one) => one !== "unseen" && one !== "lost");
    return (
      started.length >= CRASH_LIMITS.minStartedRuns ||
      lost.length >= CRASH_LIMITS.minLostRuns
    );
  }

  /**
   * Number of workers that are known to have crashed while the task had a run there. Hosts
   * that only became silent do not count, as their workers may still be running.
   */
  private get lostWorkers(): number {
    return this.evidence.filter((one) => CRASH_KIND[one] !== "none").length;
  }

  private get evidence(): CrashEvidence[] {
    return [...this.evidenceByRun.values()];
  }

  /** For how long the next run is to be isolated, milliseconds; 0 if it need not be. */
  get isolationMs(): number {
    if (!this.isSuspect) return 0;
    return this.evidenceByRun.size > 1
      ? CRASH_LIMITS.longIsolationMs
      : CRASH_LIMITS.isolationMs;
  }
}
