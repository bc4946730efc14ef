/**
 * Calls between a side process and the leading entry. The two are upgraded
 * at different times: fields that are added later have defaults, and
 * unknown fields are ignored.
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
  /** The label that names the worker's rack; empty when unknown, as from an older side. */
  rack: z.string().default(""),
  milliCores: z.number(),
  memoryMiB: z.number(),
  accelerators: z.number(),
  draining: z.boolean(),
  /** Minimum time until the worker leaves, milliseconds; absent when unknown. */
  leavesInMs: z.number().optional(),
});

/** A worker's description of itself, as last received by its side. */
export type WorkerDescription = z.output<typeof workerSchema>;

const lostRunSchema = z.object({
  ...runShape,
  /**
   * For how long the worker had reported the run as running, milliseconds;
   * absent when it never had.
   */
  workedMs: z.number().optional(),
  /**
   * True when the poll failed that would have reported the run's end. False
   * when the run may have ended before that without a report. Runs of an
   * older side count as true.
   */
  wasAtWork: z.boolean().default(true),
  /**
   * Milliseconds between the order and the failure of the worker's poll: the run
   * had worked for no longer by then. Negative when the worker had stopped
   * answering before the order. Absent when no poll failed, and from an older side.
   */
  orderedMs: z.number().optional(),
  /**
   * Whether the order to start the run is still being repeated; otherwise its
   * answer is known, or none will come. The run is reported again once that is so.
   * Absent from an older side.
   */
  isOrderOpen: z.boolean().optional(),
});

/** A run that may have started in an incarnation of the worker that has crashed since. */
export type LostRun = z.output<typeof lostRunSchema>;

const neverStartedSchema = z.array(z.object(runShape));

/**
 * Runs whose ends a worker had listed before it crashed. Possibly no leader has
 * recorded them; reported for as long as lost runs are. Absent from an older side.
 */
const unreportedEndsSchema = z.array(z.object(runShape)).optional();

const reportSchema = z.object({
  worker: workerSchema,
  /** The worker's clock when it returned the lists. */
  at: numberOf<WorkerTime>(),
  running: z.array(runningSchema),
  /** Ends that the leader has not yet acknowledged to this side. */
  ended: z.array(endedSchema),
  /** Whether the worker may have more ends, which it lists once these are acknowledged. */
  hasMoreEnds: z.boolean().default(false),
  /**
   * Runs of previous incarnations that no leader has acknowledged;
   * none from an older side.
   */
  lostRuns: z.array(lostRunSchema).default([]),
  /**
   * Runs of previous incarnations that were reported as lost but never started: the
   * answers to their orders came later. Absent from an older side.
   */
  neverBegun: neverStartedSchema.optional(),
  /**
   * Milliseconds for which a start that was sent to another incarnation may still
   * be carried out by this one. Its lease is by the clock of that incarnation, so
   * it may be the longest. Absent from an older side.
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
  /** What one core of the filling task adds to the logarithm of the tail latency. */
  weight: z.number(),
});

/** How much one image slows another, as learned by the leader from all hosts. */
export type InterferenceWeight = z.output<typeof interferenceWeightSchema>;

const grantSchema = z.object({
  /**
   * Time on the worker's clock until which its tasks may run; absent
   * when no lease is granted.
   */
  leaseUntil: numberOf<WorkerTime>().optional(),
  /** Ends up to this number are recorded; the worker may forget them. */
  acknowledged: z.number(),
  /** Pairs of images on this host; images that are not listed do not slow each other. */
  disturbances: z.array(interferenceWeightSchema).optional(),
});

export type Grant = z.output<typeof grantSchema>;

/** Methods served by the leading entry. */
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
   * That incarnation of the worker has ended, and so has everything that ran in it.
   * Answered once no later leader will wait for it.
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
   * The worker does not answer its side, which renews no lease until
   * it has reported an answer of the worker to this leader. Repeated
   * for as long as that lasts.
   */
  workerSilent: {
    params: z.object({
      /**
       * Milliseconds until every lease that the worker was sent is guaranteed to be
       * over; absent when the side cannot determine it.
       */
      overInMs: z.number().min(0).optional(),
      /** As in a report; no reports are sent while the worker is silent. */
      neverBegun: neverStartedSchema.optional(),
    }),
    /** Whether this leader may still grant leases. */
    result: z.object({ grants: z.boolean() }),
  },
  /** Keeps the connection open while the worker has nothing to report. */
  ping: { params: z.object({}), result: z.object({}) },
};

const interferenceProfileSchema = z.object({
  kind: z.enum(["serving", "filling", "plain"]),
  /** Tail latency below which a serving task should stay, milliseconds; else 0. */
  tailTargetMs: z.number(),
  image: z.string(),
  /** Processor demand of the task, thousandths of a core; 0 from an older leader. */
  milliCores: z.number().default(0),
});

/**
 * How a task affects, and is affected by, other tasks on its host;
 * used by the side for pacing.
 */
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
  /** No answer: the call may have been carried out, or may still be. */
  z.object({ kind: z.literal("silent") }),
  /** The intended incarnation of the worker has ended. */
  z.object({ kind: z.literal("replaced") }),
  /** The host accepts no new tasks. */
  z.object({ kind: z.literal("draining") }),
]);

export type HostCallResult = z.output<typeof callResultSchema>;

/** Pace of a task that is not slowed, percent. */
export const FULL_PACE = 100;

const startSchema = z.object({
  ...runShape,
  instance: idSchema<WorkerInstance>(),
  epoch: numberOf<Epoch>(),
  spec: z.string(),
  leaseUntil: numberOf<WorkerTime>(),
  checkpoint: z.string(),
  ticket: z.string().optional(),
  /** Initial pace of a filling task, percent; absent from an older leader. */
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

/** Methods served by the side of each host. */
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
