/**
 * Calls from an entry to a side process. Only the side commits the resources of its
 * host; entries send requests, and the side states the reason when it refuses one.
 */

import { z } from "zod";
import {
  countSchema,
  idSchema,
  resourcesSchema,
  type AvailabilityZone,
  type EntryId,
  type HostGeneration,
  type HostId,
  type Incarnation,
  type Rack,
  type RequestId,
  type ReservationId,
  type Sequence,
  type ServiceName,
  type TaskId,
  type UnitId,
} from "@rackspan/common";

/**
 * `service` answers requests, `job` runs to completion, `worker` runs until it is
 * stopped and answers no requests.
 */
export const taskKindSchema = z.enum(["service", "job", "worker"]);
export type TaskKind = z.infer<typeof taskKindSchema>;

/** What the worker runs; the platform defines the meaning of the name and arguments. */
export const programSchema = z.strictObject({
  name: z.string().min(1).max(200),
  args: z.record(z.string(), z.union([z.string(), z.number()])).default({}),
});
export type Program = z.infer<typeof programSchema>;

/** How an attempt ended. `never` means that it did not start and never will. */
export const endKindSchema = z.enum([
  "succeeded",
  "failed",
  "stopped",
  "checkpointed",
  "lost",
  "never",
]);
export type EndKind = z.infer<typeof endKindSchema>;

export const taskStatusSchema = z.object({
  task: idSchema<TaskId>(),
  unit: idSchema<UnitId>(),
  attempt: z.number().int().min(1),
  kind: taskKindSchema,
  /** Sequence of the claim under which the task runs. */
  fencingToken: countSchema<Sequence>(),
  state: z.enum(["starting", "running", "stopping", "ended"]),
  /** Set when the state is `ended`. */
  end: endKindSchema.optional(),
  detail: z.string().max(1_000).optional(),
  checkpoint: z.string().max(1_000).optional(),
  service: idSchema<ServiceName>().optional(),
});
export type TaskStatus = z.infer<typeof taskStatusSchema>;

export const sideStatusSchema = z.object({
  host: idSchema<HostId>(),
  generation: countSchema<HostGeneration>(),
  incarnation: idSchema<Incarnation>(),
  availabilityZone: idSchema<AvailabilityZone>(),
  rack: idSchema<Rack>(),
  /** Increases with each change of the fields below. */
  revision: z.number().int().min(0),
  ready: z.boolean(),
  leaving: z.boolean(),
  capacity: resourcesSchema,
  free: resourcesSchema,
  slots: z.number().int().min(0),
  busySlots: z.number().int().min(0),
  /** Absent when the caller already has this revision. */
  tasks: z.array(taskStatusSchema).optional(),
});
export type SideStatus = z.infer<typeof sideStatusSchema>;

const emptySchema = z.object({});

export const SIDE_METHODS = {
  /** Answers at once when the revision differs, otherwise after at most `waitMs`. */
  sync: {
    params: z.strictObject({
      entry: idSchema<EntryId>(),
      knownIncarnation: idSchema<Incarnation>().optional(),
      knownRevision: z.number().int().min(-1),
      waitMs: z.number().min(0).max(60_000),
    }),
    result: sideStatusSchema,
  },
  /** Reserves resources for one attempt, for a short time by the side's own clock. */
  reserve: {
    params: z.strictObject({
      task: idSchema<TaskId>(),
      unit: idSchema<UnitId>(),
      attempt: z.number().int().min(1),
      kind: taskKindSchema,
      service: idSchema<ServiceName>().optional(),
      resources: resourcesSchema,
    }),
    result: z.object({
      reservation: idSchema<ReservationId>(),
      generation: countSchema<HostGeneration>(),
      ttlMs: z.number().min(0),
    }),
  },
  releaseReservation: {
    params: z.strictObject({ reservation: idSchema<ReservationId>() }),
    result: emptySchema,
  },
  /** Starts a task under a reservation; only called after its claim was accepted. */
  start: {
    params: z.strictObject({
      reservation: idSchema<ReservationId>(),
      task: idSchema<TaskId>(),
      fencingToken: countSchema<Sequence>(),
      program: programSchema,
      checkpoint: z.string().max(1_000).optional(),
    }),
    result: emptySchema,
  },
  /** Ends a task; with `checkpoint`, its state is saved for the next attempt. */
  stop: {
    params: z.strictObject({
      task: idSchema<TaskId>(),
      checkpoint: z.boolean(),
    }),
    result: emptySchema,
  },
  /** Limits a task to this share of its processors until the next call. */
  throttle: {
    params: z.strictObject({
      task: idSchema<TaskId>(),
      share: z.number().min(0.01).max(1),
    }),
    result: emptySchema,
  },
  /** Guarantees that a task which this side does not hold never starts here. */
  fenceTask: {
    params: z.strictObject({ task: idSchema<TaskId>() }),
    result: z.object({
      /**
       * `held`: the end of the task is reported by `sync`. `never`: the task is
       * not here and never will be.
       */
      state: z.enum(["held", "never"]),
    }),
  },
  /** The ends of these tasks are on the log; the side may forget them. */
  acknowledge: {
    params: z.strictObject({ tasks: z.array(idSchema<TaskId>()).max(10_000) }),
    result: emptySchema,
  },
  /** Guarantees that a request which has not started here never starts here. */
  fenceRequest: {
    params: z.strictObject({
      request: idSchema<RequestId>(),
      attempt: z.number().int().min(1),
      incarnation: idSchema<Incarnation>(),
      /** Milliseconds since the request was sent, by the entry's clock. */
      ageMs: z.number().min(0),
    }),
    result: z.object({ started: z.enum(["yes", "no", "unknown"]) }),
  },
  /**
   * Permanently takes the host out of service: it accepts no new work,
   * and running work is moved.
   */
  drain: { params: z.strictObject({}), result: emptySchema },
} as const;

export type SideMethods = typeof SIDE_METHODS;
