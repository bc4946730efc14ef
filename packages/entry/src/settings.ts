/** Settings of an entry process. */

import { z } from "zod";
import { idSchema, type AvailabilityZone, type HostId } from "@rackspan/common";
import { hostLists, logServices } from "@rackspan/ports";
import { endpointPickers } from "@rackspan/routing";
import { placers } from "@rackspan/scheduling";

const listenSchema = z.strictObject({
  address: z.union([z.ipv4(), z.ipv6()]),
  port: z.number().int().min(0).max(65_535),
});

const urlSchema = z.url({ protocol: /^http$/ });

/** The wire format of a service of the platform. */
const clientSchema = (names: readonly string[]) =>
  z.enum(names as [string, ...string[]]).default("http");

const classLimitsSchema = z.strictObject({
  /** Requests of the class that this entry has in progress at once. */
  concurrency: z.number().int().min(1).max(100_000),
  /** Requests of the class that may wait before they are refused. */
  maxQueued: z.number().int().min(0).max(1_000_000),
});

const duration = (min: number, max: number, value: number) =>
  z.number().int().min(min).max(max).default(value);

export const entrySettingsSchema = z.strictObject({
  /** This host's name in the host list. */
  host: idSchema<HostId>(),
  availabilityZone: idSchema<AvailabilityZone>(),
  /** Where callers come in. */
  listen: listenSchema,
  /** Where operators and other entries come in. */
  control: listenSchema,
  log: z.strictObject({
    url: urlSchema,
    client: clientSchema(logServices.names()),
    /** This process's share of the platform's append budget. */
    appendsPerSecond: z.number().min(0.1).max(1_000).default(15),
    /** How long the log keeps entries. */
    retentionMs: duration(1_000, 1e10, 86_400_000),
    snapshotEveryEntries: z.number().int().min(1).max(1e7).default(5_000),
  }),
  hostList: z.strictObject({
    url: urlSchema,
    client: clientSchema(hostLists.names()),
    everyMs: duration(10, 60_000, 1_000),
  }),
  security: z.strictObject({
    /** Peers and operators are not authenticated; must be asked for by name. */
    mode: z.literal("development"),
  }),
  routing: z
    .strictObject({
      picker: z
        .enum(endpointPickers.names() as [string, ...string[]])
        .default("pooled"),
      /** Services with up to this many endpoints are used whole by each entry. */
      subsetLeast: z.number().int().min(1).max(10_000).default(32),
      maxAttempts: z.number().int().min(1).max(20).default(3),
      /** Retries as a share of requests. */
      retryRatio: z.number().min(0).max(1).default(0.1),
      retryBurst: z.number().min(0).max(10_000).default(20),
      /** Bodies up to this are kept for a retry; larger ones are streamed once. */
      keepBodyBytes: z.number().int().min(0).max(16_777_216).default(65_536),
      failuresToEject: z.number().int().min(1).max(1_000).default(5),
      ejectMs: duration(1, 600_000, 2_000),
      maxEjectMs: duration(1, 3_600_000, 60_000),
      maxEjectedShare: z.number().min(0).max(1).default(0.5),
      /** How long a broken watch looks for another endpoint. */
      watchResumeMs: duration(0, 600_000, 10_000),
    })
    .prefault({}),
  classes: z
    .strictObject({
      check: classLimitsSchema.default({ concurrency: 512, maxQueued: 1_024 }),
      query: classLimitsSchema.default({ concurrency: 512, maxQueued: 1_024 }),
      batch: classLimitsSchema.default({ concurrency: 128, maxQueued: 1_024 }),
      watch: classLimitsSchema.default({ concurrency: 4_096, maxQueued: 0 }),
    })
    .prefault({}),
  jobs: z
    .strictObject({
      placer: z
        .enum(placers.names() as [string, ...string[]])
        .default("spread"),
      takeoverMs: duration(1, 60_000, 1_000),
      /** Shorter than a reservation at a side lives. */
      claimTimeoutMs: duration(1, 60_000, 4_000),
      notStartedMs: duration(1, 600_000, 8_000),
      appendTimeoutMs: duration(1, 600_000, 10_000),
      concurrency: z.number().int().min(1).max(10_000).default(64),
      /** The longest lease of any worker, with room for its clock's drift. */
      longestLeaseMs: duration(1, 3_600_000, 65_000),
      sweepMs: duration(1, 60_000, 500),
    })
    .prefault({}),
  sides: z
    .strictObject({
      /** Longest wait of one status call when nothing changes; a change ends it at once. */
      syncMs: duration(10, 60_000, 10_000),
    })
    .prefault({}),
  keys: z
    .strictObject({
      /** Answers up to this are kept for repeats of their key. */
      keepAnswerBytes: z.number().int().min(0).max(1_048_576).default(16_384),
    })
    .prefault({}),
  drain: z
    .strictObject({
      /** `/readyz` says no this long before requests are refused. */
      noticeMs: duration(0, 60_000, 2_000),
      /** Watches are cut after this. */
      limitMs: duration(0, 3_600_000, 30_000),
    })
    .prefault({}),
  limits: z
    .strictObject({
      maxHeaderBytes: z
        .number()
        .int()
        .min(1_024)
        .max(1_048_576)
        .default(16_384),
      headersTimeoutMs: duration(10, 600_000, 10_000),
      maxConnections: z.number().int().min(1).max(1_000_000).default(10_000),
    })
    .prefault({}),
  logLevel: z
    .enum(["error", "warn", "info", "debug", "silent"])
    .default("info"),
});

export type EntrySettings = z.infer<typeof entrySettingsSchema>;
