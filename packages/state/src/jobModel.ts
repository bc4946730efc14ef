/** Jobs as submitted by callers, and the queues to which they are submitted. */

import type { Brand, Instant, JobTaskId, ServiceName } from "@rackspan/common";

/** Chosen by the caller; unique over all queues. */
export type JobId = Brand<string, "JobId">;
/** Host name and path prefix under which callers reach a queue. */
export type QueueKey = Brand<string, "QueueKey">;
/** Name of the image that the tasks of a step run; tasks of one image behave alike. */
export type ImageName = Brand<string, "ImageName">;

export interface TaskDemand {
  /** Thousandths of a core. */
  readonly milliCores: number;
  readonly memoryMiB: number;
  readonly accelerators: number;
}

/** A set of tasks that differ only by their index. */
export interface StepSpec {
  readonly taskCount: number;
  readonly demand: TaskDemand;
  /** The caller's estimate of one task's run time, milliseconds; 0 when unknown. */
  readonly estimateMs: number;
  /** Numbers of the steps whose tasks must all be completed first. */
  readonly after: readonly number[];
  readonly checkpointing: boolean;
  /** All tasks run at the same time under one run number, or none does. */
  readonly gang: boolean;
  /** Marks a gang that takes longer when it is spread over several racks. */
  readonly sameRack: boolean;
  /** A label that the host must have; empty for none. */
  readonly requiredLabel: string;
  /** Rack that holds the step's data; tasks take longer on other racks. Empty for none. */
  readonly dataRack: string;
  /** Maximum number of tasks of the step on one host; 0 for no limit. */
  readonly maxPerHost: number;
  /** Whether copies of one task may run in parallel. */
  readonly replicable: boolean;
  /**
   * Whether the tasks run until the job is cancelled, and are
   * restarted however they end.
   */
  readonly lasting: boolean;
  readonly image: ImageName;
  /** Tail latency below which a serving task should stay, milliseconds; 0 for none. */
  readonly tailTargetMs: number;
  /** Whether the tasks use only processor time that other tasks leave idle. */
  readonly filling: boolean;
  /**
   * Number of tasks of a lasting step that the system may stop at the same time;
   * undefined when no rule applies.
   */
  readonly mayMiss: number | undefined;
}

/** The steps are run `count` times, at fixed times. */
export interface RepeatSpec {
  readonly count: number;
  readonly firstAt: Instant;
  readonly intervalMs: number;
}

export interface JobSpec {
  readonly id: JobId;
  readonly queue: QueueKey;
  /** Passed to each task unchanged. */
  readonly payload: string;
  readonly steps: readonly StepSpec[];
  readonly repeat: RepeatSpec | undefined;
}

export interface PermitRule {
  /**
   * Milliseconds that the permit service takes for a call; `eachMs`
   * is added per host named.
   */
  readonly decideMs: number;
  readonly eachMs: number;
  /** Milliseconds for which a permit is valid. */
  readonly validMs: number;
}

export interface QueueSpec {
  readonly key: QueueKey;
  readonly name: string;
  readonly hostName: string;
  readonly pathPrefix: string;
  /** The service whose hosts run the queue's tasks. */
  readonly service: ServiceName;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Number of failed runs of one task after which its job fails. */
  readonly maxAttempts: number;
  /**
   * A job's objective is this factor times its longest chain of
   * work, plus `targetLatencyMs`.
   */
  readonly stretch: number;
  readonly targetLatencyMs: number;
  readonly permitRule: PermitRule | undefined;
}

export interface SiteConfig {
  readonly version: number;
  readonly queues: readonly QueueSpec[];
  /** Services whose hosts reject tasks when they are overloaded. */
  readonly overloadRejectingServices: ReadonlySet<ServiceName>;
  readonly maxBodyBytes: number;
}

export const JOB_STATES = [
  "queued",
  "running",
  "completed",
  "failed",
  "cancelled",
] as const;
export type JobStateName = (typeof JOB_STATES)[number];

export const isFinalState = (state: JobStateName): boolean =>
  state === "completed" || state === "failed" || state === "cancelled";

export const queueKeyOf = (hostName: string, pathPrefix: string): QueueKey =>
  `${hostName}${pathPrefix}` as QueueKey;

/** Position of a task within its job. */
export interface TaskPosition {
  readonly job: JobId;
  /** Number of the repeat of the job, from 0. */
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

export const taskIdAt = ({
  job,
  occurrence,
  step,
  index,
}: TaskPosition): JobTaskId =>
  `${job}.${occurrence}.${step}.${index}` as JobTaskId;

const TASK_ID = /^([^.]+)\.(\d+)\.(\d+)\.(\d+)$/;

/** @returns undefined when the text is not a task id */
export const parseTaskId = (task: JobTaskId): TaskPosition | undefined => {
  const match = TASK_ID.exec(task);
  if (!match) return undefined;
  const [, job, occurrence, step, index] = match;
  return {
    job: job as unknown as JobId,
    occurrence: Number(occurrence),
    step: Number(step),
    index: Number(index),
  };
};
