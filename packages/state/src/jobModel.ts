/** Jobs as callers submit them, and the queues that they are submitted to. */

import type { Brand, Instant, JobTaskId, ServiceName } from "@rackspan/common";

/** Chosen by the caller; unique over all queues. */
export type JobId = Brand<string, "JobId">;
/** Host name and path prefix under which callers reach a queue. */
export type QueueKey = Brand<string, "QueueKey">;
/** Name of what the tasks of a step run; tasks of one image behave alike. */
export type ImageName = Brand<string, "ImageName">;

export interface TaskDemand {
  /** Thousandths of a core. */
  readonly milliCores: number;
  readonly memoryMiB: number;
  readonly accelerators: number;
}

/** Tasks that differ only by their index. */
export interface StepSpec {
  readonly taskCount: number;
  readonly demand: TaskDemand;
  /** The caller's guess of one task's run time, milliseconds; 0 when unknown. */
  readonly estimateMs: number;
  /** Numbers of the steps whose tasks must all be done first. */
  readonly after: readonly number[];
  readonly checkpointing: boolean;
  /** All tasks run at once, under one run number, or none does. */
  readonly gang: boolean;
  /** A gang that takes longer when it is spread over racks. */
  readonly sameRack: boolean;
  /** A label that the host must have; empty for none. */
  readonly requiredLabel: string;
  /** The rack of the step's data; work takes longer elsewhere. Empty for none. */
  readonly dataRack: string;
  /** Most tasks of the step on one host; 0 for no limit. */
  readonly maxPerHost: number;
  /** Copies of one task may run side by side. */
  readonly replicable: boolean;
  /** Runs until the job is cancelled, and is started again however it ends. */
  readonly lasting: boolean;
  readonly image: ImageName;
  /** Tail latency below which a serving task is to stay, milliseconds; 0 for none. */
  readonly tailTargetMs: number;
  /** Takes only processor time that others leave unused. */
  readonly filling: boolean;
  /** Tasks of a lasting step that the system may take away at once; undefined for no rule. */
  readonly mayMiss: number | undefined;
}

/** The steps are run `count` times, at fixed instants. */
export interface RepeatSpec {
  readonly count: number;
  readonly firstAt: Instant;
  readonly intervalMs: number;
}

export interface JobSpec {
  readonly id: JobId;
  readonly queue: QueueKey;
  /** Handed to each task as it is. */
  readonly payload: string;
  readonly steps: readonly StepSpec[];
  readonly repeat: RepeatSpec | undefined;
}

export interface PermitRule {
  /** Milliseconds that the permit service takes for a call, and more for each host named. */
  readonly decideMs: number;
  readonly eachMs: number;
  /** Milliseconds for which a permit holds. */
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
  /** Runs of one task that may fail before its job has failed. */
  readonly maxAttempts: number;
  /** A job's objective is this times its longest chain of work, and `targetLatencyMs` more. */
  readonly stretch: number;
  readonly targetLatencyMs: number;
  readonly permitRule: PermitRule | undefined;
}

export interface SiteConfig {
  readonly version: number;
  readonly queues: readonly QueueSpec[];
  /** Services whose hosts guard themselves against too many tasks. */
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

/** Where a task stands within its job. */
export interface TaskPosition {
  readonly job: JobId;
  /** Counts the repeats of the job, from 0. */
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

/** @returns undefined for a text that no task id has the form of */
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
