/** Settings of an entry process that takes jobs. */

import { z } from "zod";
import {
  endpointSchema,
  idSchema,
  listenAddressSchema,
  type AvailabilityZone,
  type EntryId,
} from "@rackspan/common";
import {
  DEFAULT_POLICY,
  stepOrders,
  taskPlacers,
  type SchedulingPolicy,
} from "@rackspan/scheduling";

const millisecondsSchema = z.number().int().min(1).max(3_600_000);

const secondsSchema = z.number().positive().max(86_400);

const namesOf = (names: readonly string[]) =>
  z.enum(names as [string, ...string[]]);

const onOrOff = z.boolean();

/** See SchedulingPolicy for what each of them does. */
const policySchema = z.strictObject({
  fillingTailLimit: z.number().min(0.1).max(2),
  weightCaution: z.number().min(0).max(4),
  startsSlowly: onOrOff,
  overfillsFreeHosts: onOrOff,
  packsServing: onOrOff,
  learnsInterference: onOrOff,
  correctsEstimates: onOrOff,
  movesCrawling: onOrOff,
  movesStalled: onOrOff,
  movesFromSlowHosts: onOrOff,
  ejectsFailingHosts: onOrOff,
  checkpointEveryMs: z.number().int().min(0).max(60_000),
  learntEveryMs: z.number().int().min(0).max(60_000),
}) satisfies z.ZodType<SchedulingPolicy>;

export const jobEntrySettingsSchema = z.strictObject({
  entry: idSchema<EntryId>(),
  availabilityZone: idSchema<AvailabilityZone>(),
  /** The plug-ins for the platform. */
  platform: z.strictObject({
    client: z.string().min(1),
    /** `IP:PORT` of the store. */
    store: endpointSchema,
    /** `IP:PORT` of the service that says which hosts may run a step, where there is one. */
    permits: endpointSchema.optional(),
  }),
  /** Where callers hand in jobs. */
  callers: listenAddressSchema,
  /** Where the platform asks whether this entry takes callers. */
  readiness: listenAddressSchema,
  /**
   * Whether an entry that cannot reach the store reports that it is not ready, so
   * that callers go to other entries.
   */
  readyFollowsStore: z.boolean().default(true),
  /** Where sides connect to the leader. */
  sides: listenAddressSchema,
  metrics: listenAddressSchema.optional(),
  leases: z.strictObject({
    /**
     * Silence after which the store gives leadership to another entry. Shorter:
     * a dead leader is replaced sooner; longer: a leader outlasts longer outages.
     */
    leadershipTtlMs: millisecondsSchema.default(2_500),
    /** The least that the store takes; a lower `leadershipTtlMs` is raised to it. */
    leastLeadershipTtlMs: millisecondsSchema.default(1),
    /** Longest lease that workers grant. */
    workerLeaseMs: millisecondsSchema,
    /** Time that a worker may take to stop a task. */
    stopMs: millisecondsSchema.default(500),
  }),
  /** What this process may use of a processor; a whole one when left out. */
  processor: z
    .strictObject({
      /** Share of the time. */
      share: z.number().positive().max(1_024).default(1),
      /** How fast it is, against the processors that leaders are measured on. */
      speed: z.number().positive().max(1_024).default(1),
    })
    .prefault({}),
  /** A planned stop is over within this. */
  graceSeconds: secondsSchema.default(6),
  /** The state of a job that ended can be asked for this long. */
  keepEndedSeconds: secondsSchema.default(120),
  batching: z
    .strictObject({
      /** Submissions are gathered this long before they are sent to the store. */
      submitMs: z.number().min(0).max(1_000).default(4),
      /** Changes of progress likewise. */
      progressMs: z.number().min(0).max(1_000).default(20),
      /** Least time between two polls of one topic by the entry that leads. */
      pollFloorMs: z.number().min(0).max(1_000).default(25),
      /**
       * The same for entries that do not lead: how late they may hear that a job has
       * ended. Every entry polls for itself, so most calls to the store are theirs.
       */
      followFloorMs: z.number().min(0).max(1_000).default(100),
    })
    .prefault({}),
  scheduling: z
    .strictObject({
      order: namesOf(stepOrders.names()).default("byWorth"),
      placer: namesOf(taskPlacers.names()).default("colocating"),
      policy: policySchema
        .partial()
        .transform((given): SchedulingPolicy => ({
          ...DEFAULT_POLICY,
          ...given,
        }))
        .prefault({}),
    })
    .prefault({}),
  logLevel: z
    .enum(["error", "warn", "info", "debug", "silent"])
    .default("info"),
});

export type JobEntrySettings = z.infer<typeof jobEntrySettingsSchema>;

/** What the process may use, in processors of the usual speed. */
export const availableProcessors = ({ processor }: JobEntrySettings): number =>
  processor.share * processor.speed;
