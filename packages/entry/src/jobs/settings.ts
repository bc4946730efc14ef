/** Settings of an entry process for jobs. */

import { z } from "zod";
import {
  endpointSchema,
  idSchema,
  listenAddressSchema,
  type AvailabilityZone,
  type EntryId,
} from "@rackspan/common";
import { DEFAULT_RECORD_LIMITS } from "@rackspan/ports";
import {
  DEFAULT_POLICY,
  stepOrders,
  taskPlacers,
  type SchedulingPolicy,
} from "@rackspan/scheduling";

const millisecondsSchema = z.number().int().min(1).max(3_600_000);

const secondsSchema = z.number().positive().max(86_400);

const bytesSchema = z.number().int().positive();

const nameSchema = (names: readonly string[]) =>
  z.enum(names as [string, ...string[]]);

const flagSchema = z.boolean();

/** See SchedulingPolicy for what each of them does. */
const policySchema = z.strictObject({
  fillingTailLimit: z.number().min(0.1).max(2),
  weightCaution: z.number().min(0).max(4),
  startsSlowly: flagSchema,
  overfillsFreeHosts: flagSchema,
  packsServing: flagSchema,
  consolidatesServing: flagSchema,
  learnsInterference: flagSchema,
  correctsEstimates: flagSchema,
  movesCrawling: flagSchema,
  movesStalled: flagSchema,
  movesFromSlowHosts: flagSchema,
  ejectsFailingHosts: flagSchema,
  forecastsServingLoad: flagSchema,
  forecastTailLimit: z.number().min(0.1).max(2),
  assignsFillingJointly: flagSchema,
  checkpointEveryMs: z.number().int().min(0).max(60_000),
  learntEveryMs: z.number().int().min(0).max(60_000),
  recordsPlacements: flagSchema,
}) satisfies z.ZodType<SchedulingPolicy>;

export const jobEntrySettingsSchema = z.strictObject({
  entry: idSchema<EntryId>(),
  availabilityZone: idSchema<AvailabilityZone>(),
  /** The plug-ins for the platform. */
  platform: z.strictObject({
    client: z.string().min(1),
    /** `IP:PORT` of the store. */
    store: endpointSchema,
    /** Sizes that the store accepts. */
    limits: z
      .strictObject({
        recordBytes: bytesSchema.default(DEFAULT_RECORD_LIMITS.recordBytes),
        callBytes: bytesSchema.default(DEFAULT_RECORD_LIMITS.callBytes),
      })
      .prefault({}),
    /** `IP:PORT` of the optional service that permits hosts to run a step. */
    permits: endpointSchema.optional(),
  }),
  /** Address on which callers submit jobs. */
  callers: listenAddressSchema,
  /** Address of the readiness probe, which says whether this entry accepts callers. */
  readiness: listenAddressSchema,
  /**
   * Whether an entry that cannot reach the store reports that it is not ready, so
   * that callers go to other entries.
   */
  readyFollowsStore: z.boolean().default(true),
  /** Address on which sides connect to the leader. */
  sides: listenAddressSchema,
  metrics: listenAddressSchema.optional(),
  leases: z.strictObject({
    /**
     * Silence after which the store gives leadership to another entry. A shorter time
     * replaces a dead leader sooner; a longer one lets a leader survive longer outages.
     */
    leadershipTtlMs: millisecondsSchema.default(2_500),
    /** Minimum that the store accepts; a lower `leadershipTtlMs` is raised to it. */
    leastLeadershipTtlMs: millisecondsSchema.default(1),
    /** Longest lease that workers grant. */
    workerLeaseMs: millisecondsSchema,
    /** Time limit for a worker to stop a task. */
    stopMs: millisecondsSchema.default(500),
  }),
  /** Processor time that this process may use; defaults to one full processor. */
  processor: z
    .strictObject({
      /** Share of one processor's time. */
      share: z.number().positive().max(1_024).default(1),
      /** Speed relative to the processors on which leaders are benchmarked. */
      speed: z.number().positive().max(1_024).default(1),
    })
    .prefault({}),
  /** A planned stop completes within this time. */
  graceSeconds: secondsSchema.default(6),
  /** How long the state of an ended job can be queried. */
  keepEndedSeconds: secondsSchema.default(120),
  batching: z
    .strictObject({
      /** How long submissions are batched before they are sent to the store. */
      submitMs: z.number().min(0).max(1_000).default(4),
      /** How long changes of progress are batched. */
      progressMs: z.number().min(0).max(1_000).default(20),
      /** Minimum interval between two polls of one topic by the leading entry. */
      pollFloorMs: z.number().min(0).max(1_000).default(25),
      /**
       * The same for entries that do not lead. It bounds how late they learn that a job
       * has ended. Every entry polls on its own, so these entries make most of the calls
       * to the store.
       */
      followFloorMs: z.number().min(0).max(1_000).default(100),
    })
    .prefault({}),
  scheduling: z
    .strictObject({
      order: nameSchema(stepOrders.names()).default("byWorth"),
      placer: nameSchema(taskPlacers.names()).default("colocating"),
      policy: policySchema
        .partial()
        .transform((given): SchedulingPolicy => ({
          ...DEFAULT_POLICY,
          ...given,
        }))
        .prefault({}),
    })
    .prefault({}),
  /** Whether and how jobs that can be of no use any more are refused. */
  admission: z
    .strictObject({
      /**
       * Whether entries refuse jobs that would end too late, and the leader publishes
       * the load summary by which they decide.
       */
      refusesHopeless: flagSchema.default(false),
      /** Interval at which the leader publishes the load summary, milliseconds. */
      summaryIntervalMs: millisecondsSchema.default(500),
      /** An older load summary refuses nothing, milliseconds. */
      maxSummaryAgeMs: millisecondsSchema.default(2_000),
    })
    .prefault({}),
  peers: z
    .strictObject({
      /**
       * Whether this entry passes callers' requests on to another entry while it does
       * not reach the store, and serves the requests of other entries.
       */
      forwardsRequests: flagSchema.default(false),
    })
    .prefault({}),
  logLevel: z
    .enum(["error", "warn", "info", "debug", "silent"])
    .default("info"),
});

export type JobEntrySettings = z.infer<typeof jobEntrySettingsSchema>;

/** Processor capacity of the process, in processors of the reference speed. */
export const availableProcessors = ({ processor }: JobEntrySettings): number =>
  processor.share * processor.speed;

/**
 * Below this capacity a leader records no placements: each record costs a start another
 * turn of an event loop that waits for processor time, which is more than the time that
 * the record saves at a takeover.
 */
const MIN_RECORDING_PROCESSORS = 0.125;

/** The scheduling policy, without the features that the process has no capacity for. */
export const affordablePolicy = (
  settings: JobEntrySettings,
): SchedulingPolicy => {
  const { policy } = settings.scheduling;
  const hasCapacity = availableProcessors(settings) >= MIN_RECORDING_PROCESSORS;
  return {
    ...policy,
    recordsPlacements: policy.recordsPlacements && hasCapacity,
  };
};
