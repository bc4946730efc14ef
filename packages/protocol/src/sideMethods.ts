/**
 * Calls from an entry to a side process. The side alone decides what its host
 * commits; entries ask, and learn why when it refuses.
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

/** `service` answers requests, `job` runs to an end, `worker` stays up without either. */
export const taskKindSchema = z.enum(["service", "job", "worker"]);
export type TaskKind = z.infer<typeof taskKindSchema>;

/** What the worker is to run; the platform gives the name and arguments their meaning. */
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
  /** Sequence of the claim that the task runs under. */
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
  /** Grows with each change of what follows. */
  revision: z.number().int().min(0),
  ready: z.boolean(),
  leaving: z.boolean(),
  capacity: resourcesSchema,
  free: resourcesSchema,
  slots: z.number().int().min(0),
  busySlots: z.number().int().min(0),
  /** Left out when the caller already knows this revision. */
  tasks: z.array(taskStatusSchema).optional(),
});
export type SideStatus = z.infer<typeof sideStatusSchema>;

const emptySchema = z.object({});

export const SIDE_METHODS = {
  /** Answers at once when the revision differs, else after `waitMs` at the latest. */
  sync: {
    params: z.strictObject({
      entry: idSchema<EntryId>(),
      knownIncarnation: idSchema<Incarnation>().optional(),
      knownRevision: z.number().int().min(-1),
      waitMs: z.number().min(0).max(60_000),
    }),
    result: sideStatusSchema,
  },
  /** Holds room for one attempt, for a short time by the side's own clock. */
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
  /** Turns a reservation into a running task; only after its claim has won. */
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
  /** Ends a task; with `checkpoint`, its state is kept for the next attempt. */
  stop: {
    params: z.strictObject({
      task: idSchema<TaskId>(),
      checkpoint: z.boolean(),
    }),
    result: emptySchema,
  },
  /** Limits a task to this share of its processors until told otherwise. */
  throttle: {
    params: z.strictObject({
      task: idSchema<TaskId>(),
      share: z.number().min(0.01).max(1),
    }),
    result: emptySchema,
  },
  /** Makes sure that a task which is not held here never starts here. */
  fenceTask: {
    params: z.strictObject({ task: idSchema<TaskId>() }),
    result: z.object({
      /** `held`: its end is reported by `sync`. `never`: it is not here and never will be. */
      state: z.enum(["held", "never"]),
    }),
  },
  /** The ends of these tasks are on the log; the side may forget them. */
  acknowledge: {
    params: z.strictObject({ tasks: z.array(idSchema<TaskId>()).max(10_000) }),
    result: emptySchema,
  },
  /** Makes sure that a request that has not started here never starts here. */
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
  /** Takes the host out of service for good: no new work, running work is moved. */
  drain: { params: z.strictObject({}), result: emptySchema },
} as const;

export type SideMethods = typeof SIDE_METHODS;
