/** Port to the platform's worker agent on an endpoint host. */

import { z } from "zod";
import {
  countSchema,
  idSchema,
  RackspanError,
  resourcesSchema,
  type Incarnation,
  type Sequence,
  type TaskId,
} from "@rackspan/common";

/**
 * Notes of a side on a task; the worker stores them with the lease
 * without interpreting them.
 */
export const taskNotesSchema = z.record(z.string(), z.string());

export const workerTaskSchema = z.object({
  task: idSchema<TaskId>(),
  state: z.enum([
    "running",
    "succeeded",
    "failed",
    "stopped",
    "checkpointed",
    "lapsed",
  ]),
  detail: z.string().optional(),
  checkpoint: z.string().optional(),
  /** Where the task answers requests, when it does. */
  address: z.string().optional(),
  resources: resourcesSchema,
  fencingToken: countSchema<Sequence>(),
  notes: taskNotesSchema,
});
export type WorkerTask = z.infer<typeof workerTaskSchema>;

export const workerStateSchema = z.object({
  capacity: resourcesSchema,
  /** The longest lease that this worker grants, milliseconds. */
  longestLeaseMs: z.number().min(1),
  tasks: z.array(workerTaskSchema),
});
export type WorkerState = z.infer<typeof workerStateSchema>;

export interface StartOrder {
  readonly task: TaskId;
  readonly program: {
    readonly name: string;
    readonly args: Readonly<Record<string, string | number>>;
  };
  readonly resources: z.infer<typeof resourcesSchema>;
  readonly leaseMs: number;
  readonly fencingToken: Sequence;
  readonly checkpoint?: string;
  readonly notes: Readonly<Record<string, string>>;
}

/** Usage of one task over an interval that ended some time ago. */
export const usageSampleSchema = z.object({
  task: idSchema<TaskId>(),
  processors: z.number().min(0),
  memoryMiB: z.number().min(0),
  takenAt: z.number(),
});
export type UsageSample = z.infer<typeof usageSampleSchema>;

/**
 * Each call names the incarnation of the side. The worker accepts calls
 * only from the one that last took it over, so a suspended old side
 * process can no longer act.
 */
export interface Worker {
  takeOver(owner: Incarnation): Promise<WorkerState>;
  list(owner: Incarnation): Promise<WorkerState>;
  start(owner: Incarnation, order: StartOrder): Promise<WorkerTask>;
  /** Extends the leases of the given tasks; returns the state of every task. */
  renew(
    owner: Incarnation,
    tasks: readonly TaskId[],
    leaseMs: number,
  ): Promise<WorkerState>;
  /** Ends a task; with `checkpoint` its state is saved first. */
  stop(owner: Incarnation, task: TaskId, checkpoint: boolean): Promise<void>;
  /** Limits a task to this share of its processors, in (0, 1]. */
  throttle(owner: Incarnation, task: TaskId, share: number): Promise<void>;
  /** Removes an ended task from the worker's list. */
  forget(owner: Incarnation, task: TaskId): Promise<void>;
  usage(): Promise<readonly UsageSample[]>;
}

/** The worker refused the call, which had no effect. */
export class WorkerRefusedError extends RackspanError {
  readonly kind = "worker-refused";
  constructor(what: string) {
    super({ what, remedy: "see the worker's own log" });
  }
}

/** The call may have had an effect; the worker's list of tasks shows it. */
export class WorkerOutcomeUnknownError extends RackspanError {
  readonly kind = "worker-unknown";
  constructor(cause: unknown) {
    super({
      what: "the worker's answer was lost",
      remedy: "list the worker's tasks before acting again",
      cause,
    });
  }
}
