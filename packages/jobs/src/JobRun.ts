/**
 * The leader's state of one accepted job: its steps and tasks, which of them run,
 * and how ended runs ended. It refers to hosts by their ids only.
 */

import type { Instant, RunNumber } from "@rackspan/common";
import type { RunOutcome } from "@rackspan/ports";
import {
  decodeIndices,
  encodeIndices,
  isFinalState,
  type AcceptedJob,
  type JobStateName,
  type JobTerms,
  type ProgressRecord,
} from "@rackspan/state";
import type { CrashLog } from "./CrashLog.js";
import type { JobTask } from "./JobTask.js";
import { encodePlacements } from "./placements.js";
import { StepRun } from "./StepRun.js";

const setCheckpoint = (task: JobTask, checkpoint: string): void => {
  task.checkpoint = checkpoint;
  task.step.newestCheckpoint = checkpoint;
};

/**
 * Crash log that decides whether a task fails permanently. The members of a gang
 * fail together, so it is the merged log of all members.
 */
export const crashLogOf = ({ step, crashLog }: JobTask): CrashLog =>
  step.spec.gang ? step.crashLog : crashLog;

const stepKeyOf = (step: StepRun): string =>
  `${step.occurrence}.${step.number}`;

export class JobRun {
  readonly terms: JobTerms;
  state: JobStateName = "queued";
  begun = false;
  endedAt: Instant = 0;
  /** Whether a new checkpoint or the clearing of a crash log is not in the last record yet. */
  hasUnpersistedProgress = false;
  /**
   * Epoch of this leader if it records placements and knows for each task on which host
   * it may run; otherwise undefined, and the job's records contain no placements.
   */
  placementEpoch: number | undefined;
  private readonly occurrences = new Map<number, readonly StepRun[]>();
  private doneOccurrences = 0;
  /** Number of the first occurrence that is not complete. */
  private firstIncomplete = 0;

  /** Whether a previous leader has recorded progress of the job. */
  readonly isRestored: boolean;

  constructor(
    readonly accepted: AcceptedJob,
    progress?: ProgressRecord,
  ) {
    this.terms = accepted.terms;
    this.isRestored = progress !== undefined;
    if (progress) this.restore(progress);
    else this.occurrence(0);
  }

  get id(): AcceptedJob["spec"]["id"] {
    return this.accepted.spec.id;
  }

  get occurrenceCount(): number {
    return this.accepted.spec.repeat?.count ?? 1;
  }

  /** When an occurrence may start; a job without `repeat` may start when it is accepted. */
  dueAt(occurrence: number): Instant {
    const { repeat } = this.accepted.spec;
    if (!repeat) return this.accepted.acceptedAt;
    return repeat.firstAt + occurrence * repeat.intervalMs;
  }

  task(occurrence: number, step: number, index: number): JobTask | undefined {
    if (occurrence >= this.occurrenceCount) return undefined;
    return this.occurrence(occurrence)[step]?.tasks[index];
  }

  /** Steps that have tasks to start now. */
  runnableSteps(now: Instant): StepRun[] {
    const runnable: StepRun[] = [];
    const count = this.occurrenceCount;
    for (let number = this.firstIncomplete; number < count; number += 1) {
      const isDue = !this.accepted.spec.repeat || this.dueAt(number) <= now;
      if (!isDue) break;
      const steps = this.occurrence(number);
      for (const step of steps) {
        if (step.waiting.size === 0) continue;
        if (this.isUnlocked(step, steps)) runnable.push(step);
      }
    }
    return runnable;
  }

  /** When the next occurrence is due; undefined if there is none. */
  nextDueAt(now: Instant): Instant | undefined {
    const { repeat } = this.accepted.spec;
    if (!repeat) return undefined;
    if (repeat.firstAt > now) return repeat.firstAt;
    if (repeat.intervalMs <= 0) return undefined;
    const dueCount = Math.floor((now - repeat.firstAt) / repeat.intervalMs) + 1;
    return dueCount < repeat.count ? this.dueAt(dueCount) : undefined;
  }

  /** The steps of all occurrences that were accessed so far. */
  get steps(): StepRun[] {
    return [...this.occurrences.values()].flat();
  }

  markPlaced(task: JobTask): void {
    task.phase = "placed";
    task.step.waiting.delete(task);
    this.begun = true;
    if (this.state === "queued") this.state = "running";
  }

  markWaiting(task: JobTask): void {
    if (task.phase === "done") return;
    task.phase = "waiting";
    task.step.waiting.add(task);
  }

  /**
   * Records how a run of the task ended.
   * @returns whether the job's progress must be persisted
   */
  recordEnd(
    task: JobTask,
    run: RunNumber,
    outcome: RunOutcome,
    checkpoint: string,
  ): boolean {
    if (task.phase === "done") return false;
    if (task.writeAheadRun === run) task.writeAheadRun = undefined;
    const isNewCheckpoint = this.recordCheckpoint(task, checkpoint);
    if (outcome === "done" && !task.step.spec.lasting) {
      this.markDone(task);
      return true;
    }
    const isNewFailure = outcome === "failed" && !task.failedRuns.has(run);
    if (isNewFailure && !task.step.spec.lasting) {
      task.failedRuns.add(run);
      return true;
    }
    return isNewCheckpoint;
  }

  /**
   * Records the newest checkpoint of a task; an empty one is ignored.
   * @returns whether it differs from the previous one
   */
  recordCheckpoint(task: JobTask, checkpoint: string): boolean {
    if (checkpoint === "" || checkpoint === task.checkpoint) return false;
    setCheckpoint(task, checkpoint);
    this.hasUnpersistedProgress = true;
    return true;
  }

  /** Gives all members of a gang its newest checkpoint, as they resume together. */
  shareCheckpoint({ tasks, newestCheckpoint }: StepRun): void {
    if (newestCheckpoint === "") return;
    for (const task of tasks) this.recordCheckpoint(task, newestCheckpoint);
  }

  /** Marks all members of a gang as done, as the end of one member ends the gang. */
  markGangDone(step: StepRun): void {
    for (const task of step.tasks) {
      if (task.phase !== "done") this.markDone(task);
    }
  }

  /** Whether the task, or its gang, has failed as often as its queue allows. */
  hasReachedAttemptLimit({ step, failedRuns }: JobTask): boolean {
    const { gang, lasting } = step.spec;
    if (lasting) return false;
    const failed = gang ? step.failedRuns : failedRuns;
    return failed.size >= this.terms.maxAttempts;
  }

  /** Whether the task, or its gang, has reached the limit of worker crashes. */
  hasReachedCrashLimit(task: JobTask): boolean {
    return crashLogOf(task).hasReachedLimit;
  }

  /**
   * Counts the run of the task's write-ahead record as a possible crash. A previous
   * leader recorded the run before ordering it, and no worker has listed it since, so
   * it may have crashed its worker. Called before the task is started again.
   * @returns whether the job's progress must be persisted
   */
  resolveWriteAheadRun(task: JobTask): boolean {
    const { writeAheadRun } = task;
    if (writeAheadRun === undefined) return false;
    task.writeAheadRun = undefined;
    task.crashLog.record(writeAheadRun, "unknown");
    return true;
  }

  get isComplete(): boolean {
    return this.doneOccurrences === this.occurrenceCount;
  }

  get isEnded(): boolean {
    return isFinalState(this.state);
  }

  end(state: JobStateName, now: Instant): void {
    this.state = state;
    this.endedAt = now;
  }

  /** The job's progress for the store; called just before the record is written. */
  toRecord(): ProgressRecord {
    this.hasUnpersistedProgress = false;
    const done: Record<string, string> = {};
    const failures: ProgressRecord["failures"] = [];
    const checkpoints: ProgressRecord["checkpoints"] = [];
    const crashes: ProgressRecord["crashes"] = [];
    const announced: ProgressRecord["announced"] = [];
    for (const step of this.steps) {
      const isDone = (task: JobTask): boolean => task.phase === "done";
      const indices = step.tasks.filter(isDone).map(({ index }) => index);
      if (indices.length > 0) done[stepKeyOf(step)] = encodeIndices(indices);
      for (const task of step.tasks) {
        if (isDone(task)) continue;
        const key = `${stepKeyOf(step)}.${task.index}`;
        if (task.failedRuns.size > 0)
          failures.push([key, [...task.failedRuns]]);
        if (task.checkpoint) checkpoints.push([key, task.checkpoint]);
        if (!task.crashLog.isEmpty) crashes.push([key, task.crashLog.entries]);
        if (task.writeAheadRun !== undefined)
          announced.push([key, task.writeAheadRun]);
      }
    }
    const { state, begun, endedAt, placementEpoch } = this;
    const record = {
      state,
      begun,
      endedAt,
      done,
      failures,
      checkpoints,
      crashes,
      announced,
    };
    if (placementEpoch === undefined) return record;
    const placed = encodePlacements(this.steps);
    return { ...record, placed, placedEpoch: placementEpoch };
  }

  private restore(progress: ProgressRecord): void {
    this.state = progress.state;
    this.begun = progress.begun;
    this.endedAt = progress.endedAt;
    this.occurrence(0);
    for (const [key, indices] of Object.entries(progress.done)) {
      for (const index of decodeIndices(indices)) {
        const task = this.taskAtKey(`${key}.${index}`);
        if (task) this.markDone(task);
      }
    }
    for (const [key, runs] of progress.failures) {
      const task = this.taskAtKey(key);
      for (const run of runs) task?.failedRuns.add(run);
    }
    for (const [key, runs] of progress.crashes) {
      const task = this.taskAtKey(key);
      for (const [run, evidence] of runs) task?.crashLog.record(run, evidence);
    }
    for (const [key, run] of progress.announced) {
      const task = this.taskAtKey(key);
      if (task) task.writeAheadRun = run as unknown as RunNumber;
    }
    for (const [key, checkpoint] of progress.checkpoints) {
      const task = this.taskAtKey(key);
      if (task) setCheckpoint(task, checkpoint);
    }
  }

  private taskAtKey(key: string): JobTask | undefined {
    const [occurrence, step, index] = key.split(".").map(Number);
    if (index === undefined) return undefined;
    return this.task(occurrence as number, step as number, index);
  }

  private occurrence(number: number): readonly StepRun[] {
    let steps = this.occurrences.get(number);
    if (!steps) {
      steps = this.accepted.spec.steps.map(
        (spec, step) => new StepRun(this, number, step, spec),
      );
      this.occurrences.set(number, steps);
    }
    return steps;
  }

  private isUnlocked(step: StepRun, steps: readonly StepRun[]): boolean {
    return step.spec.after.every((number) => steps[number]?.isDone ?? true);
  }

  private markDone(task: JobTask): void {
    if (task.phase === "done") return;
    task.phase = "done";
    task.step.waiting.delete(task);
    task.step.doneCount += 1;
    if (!task.step.isDone) return;
    if (!this.isOccurrenceDone(task.step.occurrence)) return;
    this.doneOccurrences += 1;
    while (this.isOccurrenceDone(this.firstIncomplete))
      this.firstIncomplete += 1;
  }

  private isOccurrenceDone(number: number): boolean {
    const steps = this.occurrences.get(number);
    return steps !== undefined && steps.every((step) => step.isDone);
  }
}
