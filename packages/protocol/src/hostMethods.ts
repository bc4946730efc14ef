/**
 * Calls between a side process and the leading entry. The two are upgraded one
 * after the other: a field that is added later has a default, and fields that are
 * not known are passed over.
 */

import { z } from "zod";
import {
  idSchema,
  type AvailabilityZone,
  type Brand,
  type Epoch,
  type HostId,
  type JobTaskId,
  type RunNumber,
  type ServiceName,
  type WorkerInstance,
  type WorkerTime,
} from "@rackspan/common";

const numberOf = <B extends Brand<number, string>>() =>
  z.number().transform((value) => value as unknown as B);

const runShape = {
  task: idSchema<JobTaskId>(),
  run: numberOf<RunNumber>(),
};

const runningSchema = z.object({
  ...runShape,
  checkpoint: z.string(),
  progressPercent: z.number(),
  reading: z.number(),
});

const endedSchema = z.object({
  ...runShape,
  number: z.number(),
  outcome: z.enum(["done", "failed", "stopped", "lapsed", "broken", "alone"]),
  checkpoint: z.string(),
});

const workerSchema = z.object({
  instance: idSchema<WorkerInstance>(),
  service: idSchema<ServiceName>(),
  labels: z.array(z.string()),
  /** The label that names its rack; empty when it is not known, as from an older side. */
  rack: z.string().default(""),
  milliCores: z.number(),
  memoryMiB: z.number(),
  accelerators: z.number(),
  draining: z.boolean(),
  /** Least time until the worker leaves, milliseconds; absent when unknown. */
  leavesInMs: z.number().optional(),
});

/** A worker's description of itself, as its side last heard it. */
export type WorkerDescription = z.output<typeof workerSchema>;

const lostRunSchema = z.object({
  ...runShape,
  /** For how long the worker had shown it, milliseconds; absent when it never had. */
  workedMs: z.number().optional(),
  /**
   * Whether the look broke off in which the worker would have told of its end; else it
   * may have ended before, unheard of. An older side takes each for
   * one at work.
   */
  wasAtWork: z.boolean().default(true),
  /**
   * How long before the look at its worker broke off it was ordered, milliseconds: it had
   * worked for no longer by then. Negative when its worker had stopped answering before
   * the order. Absent when no look broke off, and from an older side.
   */
  orderedMs: z.number().optional(),
  /**
   * Whether the order to start it is still being repeated; else its answer is known, or
   * none will come. It is told again once that is so. Absent from an older side.
   */
  isOrderOpen: z.boolean().optional(),
});

/** A run that may have begun in a life of the worker that has crashed since. */
export type LostRun = z.output<typeof lostRunSchema>;

const neverStartedSchema = z.array(z.object(runShape));

/**
 * Runs whose ends a worker had listed before it crashed. No leader may have taken note
 * of them; told for as long as lost runs are. Absent from an older side.
 */
const unreportedEndsSchema = z.array(z.object(runShape)).optional();

const reportSchema = z.object({
  worker: workerSchema,
  /** The worker's clock when it gave the lists. */
  at: numberOf<WorkerTime>(),
  running: z.array(runningSchema),
  /** Ends that the leader has not acknowledged to this side yet. */
  ended: z.array(endedSchema),
  /** Whether the worker may have more ends, which it lists once these are acknowledged. */
  hasMoreEnds: z.boolean().default(false),
  /** Runs of former lives that no leader has answered for; none from an older side. */
  lostRuns: z.array(lostRunSchema).default([]),
  /**
   * Runs of former lives that were told as lost, and that never began: the answers to
   * their orders came later. Absent from an older side.
   */
  neverBegun: neverStartedSchema.optional(),
  /**
   * For how long a start that was sent to another life may yet be carried out by this
   * one, milliseconds. Its lease is by the clock of that life, so it may be the longest.
   * Absent from an older side.
   */
  formerStartsForMs: z.number().min(0).optional(),
  unheardEnds: unreportedEndsSchema,
});

export type HostReport = z.output<typeof reportSchema>;

const interferenceWeightSchema = z.object({
  /** Image of the serving task. */
  serving: z.string(),
  /** Image of the filling task. */
  filling: z.string(),
  /** What one core of it adds to the logarithm of the tail. */
  weight: z.number(),
});

/** How much one image disturbs another, as the leader has learnt from all hosts. */
export type InterferenceWeight = z.output<typeof interferenceWeightSchema>;

const grantSchema = z.object({
  /** Time on the worker's clock until which its tasks may run; absent for none. */
  leaseUntil: numberOf<WorkerTime>().optional(),
  /** Ends up to this number are kept; the worker may forget them. */
  acknowledged: z.number(),
  /** Pairs of images on this host; those left out do not disturb. */
  disturbances: z.array(interferenceWeightSchema).optional(),
});

export type Grant = z.output<typeof grantSchema>;

/** Served by the entry that leads. */
export const leaderMethods = {
  attach: {
    params: z.object({
      host: idSchema<HostId>(),
      availabilityZone: idSchema<AvailabilityZone>(),
    }),
    result: z.object({ epoch: numberOf<Epoch>() }),
  },
  report: { params: reportSchema, result: grantSchema },
  /**
   * That life of the worker has ended, and so has all that ran there. Answered once no
   * next leader will wait for it.
   */
  workerGone: {
    params: z.object({
      instance: idSchema<WorkerInstance>(),
      lostRuns: z.array(lostRunSchema).default([]),
      unheardEnds: unreportedEndsSchema,
    }),
    result: z.object({}),
  },
  /**
   * The worker does not answer its side, which renews no lease until it has reported
   * an answer of it to this leader. Repeated for as long as that lasts.
   */
  workerSilent: {
    params: z.object({
      /**
       * Milliseconds until every lease that the worker was sent is over for certain;
       * absent when the side cannot tell.
       */
      overInMs: z.number().min(0).optional(),
      /** As in a report, of which there are none while the worker is silent. */
      neverBegun: neverStartedSchema.optional(),
    }),
    /** Whether this leader may still grant leases. */
    result: z.object({ grants: z.boolean() }),
  },
  /** Keeps the connection open while the worker shows nothing. */
  ping: { params: z.object({}), result: z.object({}) },
};

const interferenceProfileSchema = z.object({
  kind: z.enum(["serving", "filling", "plain"]),
  /** Tail latency below which a serving task is to stay, milliseconds; else 0. */
  tailTargetMs: z.number(),
  image: z.string(),
  /** What the task asks for, thousandths of a core; 0 from an older leader. */
  milliCores: z.number().default(0),
});

/** How a task behaves beside others; the side paces by it. */
export type InterferenceProfile = z.output<typeof interferenceProfileSchema>;

const callResultSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("ok"), at: numberOf<WorkerTime>() }),
  z.object({
    kind: z.literal("refused"),
    reason: z.enum([
      "fenced",
      "old-run",
      "late",
      "no-room",
      "bad-ticket",
      "unhealthy",
    ]),
  }),
  /** No answer: the call may have been carried out, or may be later. */
  z.object({ kind: z.literal("silent") }),
  /** The life of the worker that was meant is over. */
  z.object({ kind: z.literal("replaced") }),
  /** The host takes no new tasks. */
  z.object({ kind: z.literal("draining") }),
]);

export type HostCallResult = z.output<typeof callResultSchema>;

/** Percent; the pace of a task that is not slowed. */
export const FULL_PACE = 100;

const startSchema = z.object({
  ...runShape,
  instance: idSchema<WorkerInstance>(),
  epoch: numberOf<Epoch>(),
  spec: z.string(),
  leaseUntil: numberOf<WorkerTime>(),
  checkpoint: z.string(),
  ticket: z.string().optional(),
  /** Pace at which a filling task begins, percent; an older leader names none. */
  firstPercent: z.number().min(0).max(FULL_PACE).default(FULL_PACE),
  nature: interferenceProfileSchema,
});

export type StartTaskCall = z.output<typeof startSchema>;

const stopSchema = z.object({
  ...runShape,
  instance: idSchema<WorkerInstance>(),
  epoch: numberOf<Epoch>(),
});

export type StopTaskCall = z.output<typeof stopSchema>;

/** Served by the side of each host. */
export const hostMethods = {
  startTask: { params: startSchema, result: callResultSchema },
  stopTask: {
    params: stopSchema,
    result: callResultSchema,
  },
  acknowledge: {
    params: z.object({
      instance: idSchema<WorkerInstance>(),
      acknowledged: z.number(),
    }),
    result: z.object({}),
  },
  /** Describes the runs that the side did not start itself. */
  describe: {
    params: z.object({
      tasks: z.array(
        z.object({
          task: idSchema<JobTaskId>(),
          nature: interferenceProfileSchema,
        }),
      ),
    }),
    result: z.object({}),
  },
};
