/**
 * The leader's state of one accepted job: its steps and tasks, which of them run,
 * and how ended runs ended. It refers to hosts by their ids only.
 */

import type { Instant, Logger, RunNumber } from "@rackspan/common";
import type { KeyedRecord, RecordLimits, RunOutcome } from "@rackspan/ports";
import {
  decodeIndices,
  encodeIndices,
  isFinalState,
  type AcceptedJob,
  type JobStateName,
  type JobTerms,
  type ProgressRecord,
  type TaskProgress,
} from "@rackspan/state";
import type { CrashLog } from "./CrashLog.js";
import type { JobTask } from "./JobTask.js";
import { ProgressEncoder } from "./ProgressEncoder.js";
import { StepRun } from "./StepRun.js";
import { progressOf } from "./taskProgress.js";

const setCheckpoint = (task: JobTask, checkpoint: string): void => {
  task.step.job.markBegun();
  task.checkpoint = checkpoint;
  task.step.newestCheckpoint = checkpoint;
};

/**
 * Crash log that decides whether a task fails permanently. The members of a gang
 * fail together, so it is the merged log of all members.
 */
export const crashLogOf = ({ step, crashLog }: JobTask): CrashLog =>
  step.spec.gang ? step.crashLog : crashLog;

export class JobRun {
  readonly terms: JobTerms;
  /** As shown to callers. */
  state: JobStateName = "queued";
  /** Whether a worker has started a task of the job. */
  begun = false;
  /** Whether no record that was taken says that the job has begun. */
  isBeginUnpersisted = false;
  /** Whether a task was ever placed on a host; its start may have been refused. */
  wasPlaced = false;
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
  /** Complete occurrences after it. */
  private readonly doneAhead = new Set<number>();
  private readonly encoder: ProgressEncoder;

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
    this.encoder = new ProgressEncoder(this, progress?.segments);
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
    return this.stepAt(occurrence, step)?.tasks[index];
  }

  stepAt(occurrence: number, step: number): StepRun | undefined {
    if (occurrence >= this.occurrenceCount) return undefined;
    return this.occurrence(occurrence)[step];
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
    this.wasPlaced = true;
  }

  /** Records that a worker has started a task. */
  markBegun(): void {
    if (this.begun) return;
    this.begun = true;
    this.isBeginUnpersisted = true;
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
      task.recordFailure(run);
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

  /** Whether it is known for each task on which host it may run. */
  get hasPlacements(): boolean {
    return this.placementEpoch !== undefined;
  }

  /** Records of the progress that is not in records taken before; see ProgressEncoder. */
  takeRecords(limits: RecordLimits, logger: Logger): KeyedRecord[] {
    this.hasUnpersistedProgress = false;
    this.isBeginUnpersisted = false;
    return this.encoder.takeRecords(limits, logger);
  }

  /** Called when records that were taken were not persisted. */
  markUnpersisted(): void {
    this.encoder.markAllChanged();
  }

  /** The job's progress with that of all tasks. */
  toRecord(): ProgressRecord {
    const groups = this.steps.map((step) => ({ step, tasks: step.tasks }));
    return this.withTasks(progressOf(groups, this.hasPlacements));
  }

  /** The job's progress without that of the tasks of unfinished occurrences. */
  toHead(): ProgressRecord {
    const progress = progressOf([], this.hasPlacements);
    const doneOccurrences = encodeIndices([
      ...Array(this.firstIncomplete).keys(),
      ...this.doneAhead,
    ]);
    return { ...this.withTasks(progress), doneOccurrences };
  }

  private withTasks(progress: TaskProgress): ProgressRecord {
    const { state, begun, endedAt, placementEpoch } = this;
    const record = { state, begun, endedAt, ...progress };
    if (placementEpoch === undefined) return record;
    return { ...record, placedEpoch: placementEpoch };
  }

  private restore(progress: ProgressRecord): void {
    this.state = progress.state;
    // A leader writes the first record of a job when it places a task.
    this.wasPlaced = true;
    if (progress.begun) this.markBegun();
    this.endedAt = progress.endedAt;
    this.occurrence(0);
    for (const number of decodeIndices(progress.doneOccurrences ?? "")) {
      if (number >= this.occurrenceCount) continue;
      for (const { tasks } of this.occurrence(number))
        for (const task of tasks) this.markDone(task);
    }
    for (const [key, indices] of Object.entries(progress.done)) {
      for (const index of decodeIndices(indices)) {
        const task = this.taskAtKey(`${key}.${index}`);
        if (task) this.markDone(task);
      }
    }
    for (const [key, runs] of progress.failures) {
      const task = this.taskAtKey(key);
      for (const run of runs) task?.recordFailure(run);
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
    for (const { changedTasks } of this.steps) changedTasks.clear();
    this.isBeginUnpersisted = this.begun && !progress.begun;
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
    this.markBegun();
    task.phase = "done";
    task.markChanged();
    task.step.waiting.delete(task);
    task.step.doneCount += 1;
    if (!task.step.isDone) return;
    const { occurrence } = task.step;
    if (!this.isOccurrenceDone(occurrence)) return;
    this.doneOccurrences += 1;
    this.doneAhead.add(occurrence);
    while (this.doneAhead.delete(this.firstIncomplete))
      this.firstIncomplete += 1;
  }

  isOccurrenceDone(number: number): boolean {
    const steps = this.occurrences.get(number);
    return steps !== undefined && steps.every((step) => step.isDone);
  }
}
