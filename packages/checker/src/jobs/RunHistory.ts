/** Records the runs that actually took place at all workers, and the violations found in them. */

import type { HostId, JobTaskId, Monotonic, RunNumber } from "@rackspan/common";
import type { RunOutcome } from "@rackspan/ports";

/** One run at one incarnation of a worker. */
export interface ObservedRun {
  readonly task: JobTaskId;
  readonly run: RunNumber;
  readonly host: HostId;
  readonly beganAt: Monotonic;
  endedAt: Monotonic | undefined;
  /** Undefined while the run goes on, and when its worker crashed. */
  outcome: RunOutcome | undefined;
  /** Whether the leader acknowledged the end while the worker's lease was still unbroken. */
  endAcknowledged: boolean;
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

/** Maximum number of starts that crash their workers before a task fails permanently. */
const MAX_CRASHED_STARTS = 5;

/** From this long after an evacuation request no run starts in the zone, milliseconds. */
const EVACUATION_GRACE_MS = 5_000;

/** Users expect a lasting task to run again within this time after its last run, milliseconds. */
export const MAX_LASTING_GAP_MS = 6_000;

export class RunHistory {
  readonly violations: JobViolation[] = [];
  private readonly byTask = new Map<JobTaskId, ObservedRun[]>();
  /** Hosts of evacuated availability zones, with the time of the evacuation request. */
  private readonly evacuated = new Map<HostId, Monotonic>();

  recordEvacuation(host: HostId, at: Monotonic): void {
    if (!this.evacuated.has(host)) this.evacuated.set(host, at);
  }

  recordEvacuationEnd(host: HostId): void {
    this.evacuated.delete(host);
  }

  begin(seen: ObservedRun): void {
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

  runsOf(task: JobTaskId): readonly ObservedRun[] {
    return this.byTask.get(task) ?? [];
  }

  /** Runs that have not ended. */
  openRuns(): readonly ObservedRun[] {
    return [...this.byTask.values()]
      .flat()
      .filter(({ endedAt }) => endedAt === undefined);
  }

  /** Checks that each run of a lasting task is followed by the next run in time. */
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

  /** Checks what is known only at the end of a schedule: which ends were acknowledged. */
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

  /** Largest number of runs of any one task of the job that ended by a crash of the worker. */
  maxTaskCrashes(job: string): number {
    const crashes = [...this.byTask]
      .filter(([task]) => task.startsWith(`${job}.`))
      .map(([, runs]) => runs.filter(wasCrashed).length);
    return Math.max(0, ...crashes);
  }

  /** Checks the crash limit for a task that crashes each worker that starts it. */
  checkCrashes(task: JobTaskId): void {
    const runs = [...this.runsOf(task)].sort((a, b) => a.beganAt - b.beganAt);
    const [past] = runs.slice(MAX_CRASHED_STARTS);
    if (past) this.add("past-crashes", past.beganAt, show(past));
  }

  private checkBegin(
    run: ObservedRun,
    runs: readonly ObservedRun[],
    maxAttempts: number,
    ofGang: readonly ObservedRun[],
  ): void {
    const isBefore = ({
      endAcknowledged: noted,
      endedAt,
    }: ObservedRun): boolean => noted && (endedAt ?? Infinity) < run.beganAt;
    const endedBefore = runs.filter(isBefore);
    // The end of one gang member counts for all members.
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
    // A gang fails as a unit, whichever member failed.
    const counted = ofGang.length > 0 ? ofGang.filter(isBefore) : endedBefore;
    const failures = counted.filter(({ outcome }) => outcome === "failed");
    const failedRuns = new Set(failures.map(({ run: number }) => number));
    if (failedRuns.size >= maxAttempts) {
      this.add("past-attempts", run.beganAt, show(run));
    }
  }
}

/** Whether the run ended by a crash of its worker or by the expiry of the worker's lease. */
export const wasLost = (run: ObservedRun): boolean =>
  wasCrashed(run) || run.outcome === "lapsed";

const wasCrashed = ({ endedAt, outcome }: ObservedRun): boolean =>
  endedAt !== undefined && outcome === undefined;

const show = ({
  task,
  run,
  host,
  beganAt,
  endedAt,
  outcome,
}: ObservedRun): string =>
  `${task}#${run} at ${host} from ${Math.round(beganAt)} to ${endedAt === undefined ? "now" : Math.round(endedAt)} ${outcome ?? ""}`;
