/** The jobs submitted in a modelled site: their specifications and results. */

import {
  brand,
  type Clock,
  type JobTaskId,
  type Random,
} from "@rackspan/common";
import { plainJob, type MemoryStore } from "@rackspan/standins";
import {
  decodeProgress,
  isFinalState,
  parseTaskId,
  taskIdAt,
  TOPICS,
  type AcceptedJob,
  type JobId,
  type JobStateName,
  type RepeatSpec,
  type StepSpec,
} from "@rackspan/state";
import type { TaskTraits } from "./TaskTraits.js";

export interface SubmittedJobsOptions {
  readonly clock: Clock;
  readonly store: MemoryStore;
  readonly random: Random;
  /** See JobWorldOptions. */
  readonly failShare: number;
  /** See JobWorldOptions. */
  readonly maxAttempts: number;
}

/** A job, and whether it was cancelled. */
export interface SubmittedJob {
  readonly accepted: AcceptedJob;
  readonly isCancelled: boolean;
}

export class SubmittedJobs {
  private readonly jobs = new Map<JobId, AcceptedJob>();
  private readonly cancelled = new Set<JobId>();
  /** Jobs whose first task crashes each worker that starts it. */
  private readonly crashing = new Set<JobId>();

  constructor(private readonly options: SubmittedJobsOptions) {}

  add(steps: readonly Partial<StepSpec>[], repeat?: RepeatSpec): AcceptedJob {
    const { clock, maxAttempts } = this.options;
    const job = plainJob({
      id: this.nextId,
      steps,
      repeat,
      acceptedAt: clock.now(),
      terms: { maxAttempts },
    });
    this.jobs.set(job.spec.id, job);
    return job;
  }

  /** Makes the first task of the next added job crash each worker that starts it. */
  crashNext(): void {
    this.crashing.add(brand<JobId>(this.nextId));
  }

  cancel(id: JobId): void {
    this.cancelled.add(id);
  }

  all(): readonly SubmittedJob[] {
    return [...this.jobs.values()].map((accepted) => ({
      accepted,
      isCancelled: this.cancelled.has(accepted.spec.id),
    }));
  }

  /** Jobs that were not cancelled. */
  get wanted(): JobId[] {
    return [...this.jobs.keys()].filter((id) => !this.cancelled.has(id));
  }

  isLasting(id: JobId): boolean {
    return this.jobs.get(id)?.spec.steps[0]?.lasting === true;
  }

  isLastingTask(task: JobTaskId): boolean {
    const position = parseTaskId(task);
    return position !== undefined && this.isLasting(position.job);
  }

  isCrashing(id: JobId): boolean {
    return this.crashing.has(id);
  }

  /** Tasks that crash each worker that starts them. */
  crashingTasks(): readonly JobTaskId[] {
    return [...this.crashing].map((job) =>
      taskIdAt({ job, occurrence: 0, step: 0, index: 0 }),
    );
  }

  /** Whether the task's job was cancelled. */
  isCancelled(task: JobTaskId): boolean {
    const position = parseTaskId(task);
    return position !== undefined && this.cancelled.has(position.job);
  }

  isWanted(task: JobTaskId): boolean {
    const job = parseTaskId(task)?.job;
    if (job === undefined || this.cancelled.has(job)) return false;
    return !this.hasEnded(job);
  }

  /** Whether the store has recorded the end of the job. */
  hasEnded(id: JobId): boolean {
    const state = this.stateOf(id);
    return state !== undefined && isFinalState(state);
  }

  /** Whether the store has recorded the job as failed, which only crashes or failures may cause. */
  hasFailed(id: JobId): boolean {
    return this.stateOf(id) === "failed";
  }

  /** All tasks of the task's gang; empty when the task belongs to no gang. */
  gangOf(task: JobTaskId): readonly JobTaskId[] {
    const position = parseTaskId(task);
    const job = position && this.jobs.get(position.job);
    const step = position && job?.spec.steps[position.step];
    if (!position || !step?.gang) return [];
    return Array.from({ length: step.taskCount }, (_, index) =>
      taskIdAt({ ...position, index }),
    );
  }

  /** Draws the traits of one run of the task. @throws Error when the task was not submitted */
  traitsOf(task: JobTaskId): TaskTraits {
    const { random, failShare } = this.options;
    const position = parseTaskId(task);
    const job = position && this.jobs.get(position.job);
    const step = position && job?.spec.steps[position.step];
    if (!position || !step) throw new Error(`task ${task} was not submitted`);
    const { demand, filling, tailTargetMs, taskCount: size } = step;
    const runMs = step.lasting
      ? undefined
      : step.estimateMs * (0.5 + random.next());
    const fails = random.next() < failShare;
    const isFirst = position.step === 0 && position.index === 0;
    const crashes = isFirst && this.crashing.has(position.job);
    const gang = step.gang && runMs !== undefined;
    return {
      milliCores: filling ? 0 : demand.milliCores,
      runMs,
      fails,
      crashes,
      gang: gang ? { size, runMs, fails } : undefined,
      reading: filling ? demand.milliCores : tailTargetMs / 2,
      savesCheckpoints: step.checkpointing,
    };
  }

  private get nextId(): string {
    return `job${this.jobs.size}`;
  }

  private stateOf(id: JobId): JobStateName | undefined {
    const record = this.options.store
      .recordsOf(TOPICS.progress)
      .findLast(({ key }) => key === (id as unknown as string));
    return record?.value && decodeProgress(id, record.value).state;
  }
}
