/** What workers really ran, as an observer of all of them sees it. */

import type { HostId, JobTaskId, Monotonic, RunNumber } from "@rackspan/common";
import type { RunOutcome } from "@rackspan/ports";

/** One run at one life of a worker. */
export interface RunSeen {
  readonly task: JobTaskId;
  readonly run: RunNumber;
  readonly host: HostId;
  readonly beganAt: Monotonic;
  endedAt: Monotonic | undefined;
  /** Undefined while it runs, and when its worker crashed. */
  outcome: RunOutcome | undefined;
  /** Whether the leader has let the worker forget the end, its lease unbroken since. */
  noted: boolean;
}

export interface JobViolation {
  readonly kind:
    | "twice"
    | "started-after-done"
    | "past-attempts"
    | "past-crashes"
    | "over-room"
    | "evacuated"
    | "unasked"
    | "unacknowledged"
    | "given-up"
    | "waits"
    | "not-finished";
  readonly at: Monotonic;
  readonly detail: string;
}

/** Starts that may crash their workers before a task is given up. */
const MAX_CRASHED_STARTS = 5;

/** Nothing begins in a zone this long after its evacuation was asked for, milliseconds. */
const EVACUATION_GRACE_MS = 5_000;

/** Users want a lasting task to have a run again this long after its last one, milliseconds. */
export const MAX_LASTING_GAP_MS = 6_000;

export class RunHistory {
  readonly violations: JobViolation[] = [];
  private readonly byTask = new Map<JobTaskId, RunSeen[]>();
  /** Hosts of evacuated zones, and since when. */
  private readonly evacuated = new Map<HostId, Monotonic>();

  noteEvacuated(host: HostId, at: Monotonic): void {
    if (!this.evacuated.has(host)) this.evacuated.set(host, at);
  }

  noteTakenBack(host: HostId): void {
    this.evacuated.delete(host);
  }

  begin(seen: RunSeen): void {
    const since = this.evacuated.get(seen.host) ?? Infinity;
    if (seen.beganAt - since > EVACUATION_GRACE_MS) {
      this.add("evacuated", seen.beganAt, show(seen));
    }
    const others = this.runsOf(seen.task);
    const beside = others.find(({ endedAt }) => endedAt === undefined);
    if (beside)
      this.add("twice", seen.beganAt, `${show(seen)}, ${show(beside)}`);
    this.byTask.set(seen.task, [...others, seen]);
  }

  add(kind: JobViolation["kind"], at: Monotonic, detail: string): void {
    this.violations.push({ kind, at, detail });
  }

  runsOf(task: JobTaskId): readonly RunSeen[] {
    return this.byTask.get(task) ?? [];
  }

  /** Runs that go on now. */
  openRuns(): readonly RunSeen[] {
    return [...this.byTask.values()]
      .flat()
      .filter(({ endedAt }) => endedAt === undefined);
  }

  /** Tasks that are to last had a next run in time after each one. */
  checkGaps(isLasting: (task: JobTaskId) => boolean, now: Monotonic): void {
    for (const [task, runs] of this.byTask) {
      if (!isLasting(task)) continue;
      const inOrder = [...runs].sort((a, b) => a.beganAt - b.beganAt);
      inOrder.forEach((run, index) => {
        const nextAt = inOrder[index + 1]?.beganAt ?? now;
        const gapMs = nextAt - (run.endedAt ?? now);
        if (gapMs <= MAX_LASTING_GAP_MS) return;
        this.add("waits", nextAt, `${show(run)}, ${Math.round(gapMs)} ms`);
      });
    }
  }

  /** What can be told only at the end: which ends were taken note of. */
  checkEnds(
    maxAttempts: number,
    isLasting: (task: JobTaskId) => boolean,
    gangOf: (task: JobTaskId) => readonly JobTaskId[],
  ): void {
    for (const [task, runs] of this.byTask) {
      if (isLasting(task)) continue;
      const ofGang = gangOf(task).flatMap((member) => this.runsOf(member));
      for (const run of runs) this.checkBegin(run, runs, maxAttempts, ofGang);
    }
  }

  /** Under how many runs of one task of the job workers ended, at the most. */
  mostCrashes(job: string): number {
    const crashes = [...this.byTask]
      .filter(([task]) => task.startsWith(`${job}.`))
      .map(([, runs]) => runs.filter(wasCrashed).length);
    return Math.max(0, ...crashes);
  }

  /** For a task that crashes each worker that starts it: all its runs ended so. */
  checkCrashes(task: JobTaskId): void {
    const runs = [...this.runsOf(task)].sort((a, b) => a.beganAt - b.beganAt);
    const [past] = runs.slice(MAX_CRASHED_STARTS);
    if (past) this.add("past-crashes", past.beganAt, show(past));
  }

  private checkBegin(
    run: RunSeen,
    runs: readonly RunSeen[],
    maxAttempts: number,
    ofGang: readonly RunSeen[],
  ): void {
    const isBefore = ({ noted, endedAt }: RunSeen): boolean =>
      noted && (endedAt ?? Infinity) < run.beganAt;
    const endedBefore = runs.filter(isBefore);
    // The end of one member stands for all.
    const done = [...endedBefore, ...ofGang.filter(isBefore)].find(
      ({ outcome }) => outcome === "done",
    );
    if (done) {
      this.add(
        "started-after-done",
        run.beganAt,
        `${show(run)}, ${show(done)}`,
      );
    }
    // A gang fails as one, whichever of its members did.
    const counted = ofGang.length > 0 ? ofGang.filter(isBefore) : endedBefore;
    const failures = counted.filter(({ outcome }) => outcome === "failed");
    const failedRuns = new Set(failures.map(({ run: number }) => number));
    if (failedRuns.size >= maxAttempts) {
      this.add("past-attempts", run.beganAt, show(run));
    }
  }
}

/** Whether it ended with its worker, or with its worker's lease. */
export const wasLost = (run: RunSeen): boolean =>
  wasCrashed(run) || run.outcome === "lapsed";

const wasCrashed = ({ endedAt, outcome }: RunSeen): boolean =>
  endedAt !== undefined && outcome === undefined;

const show = ({
  task,
  run,
  host,
  beganAt,
  endedAt,
  outcome,
}: RunSeen): string =>
  `${task}#${run} at ${host} from ${Math.round(beganAt)} to ${endedAt === undefined ? "now" : Math.round(endedAt)} ${outcome ?? ""}`;
