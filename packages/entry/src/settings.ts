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

/** Name of the plug-in that implements the wire format of a platform service. */
const clientSchema = (names: readonly string[]) =>
  z.enum(names as [string, ...string[]]).default("http");

const classLimitsSchema = z.strictObject({
  /** Maximum number of requests of the class in progress at this entry. */
  concurrency: z.number().int().min(1).max(100_000),
  /** Maximum number of queued requests of the class; further ones are refused. */
  maxQueued: z.number().int().min(0).max(1_000_000),
});

const duration = (min: number, max: number, value: number) =>
  z.number().int().min(min).max(max).default(value);

export const entrySettingsSchema = z.strictObject({
  /** This host's name in the host list. */
  host: idSchema<HostId>(),
  availabilityZone: idSchema<AvailabilityZone>(),
  /** Listen address for callers. */
  listen: listenSchema,
  /** Listen address for operators and other entries. */
  control: listenSchema,
  log: z.strictObject({
    url: urlSchema,
    client: clientSchema(logServices.names()),
    /** Share of the platform's append budget that this process may use. */
    appendsPerSecond: z.number().min(0.1).max(1_000).default(15),
    /** How long the log retains entries. */
    retentionMs: duration(1_000, 1e10, 86_400_000),
    snapshotEveryEntries: z.number().int().min(1).max(1e7).default(5_000),
  }),
  hostList: z.strictObject({
    url: urlSchema,
    client: clientSchema(hostLists.names()),
    everyMs: duration(10, 60_000, 1_000),
  }),
  security: z.strictObject({
    /** Peers and operators are not authenticated, so this mode must be set explicitly. */
    mode: z.literal("development"),
  }),
  routing: z
    .strictObject({
      picker: z
        .enum(endpointPickers.names() as [string, ...string[]])
        .default("pooled"),
      /** Each entry uses all endpoints of a service that has up to this many. */
      subsetLeast: z.number().int().min(1).max(10_000).default(32),
      maxAttempts: z.number().int().min(1).max(20).default(3),
      /** Maximum share of retries among requests. */
      retryRatio: z.number().min(0).max(1).default(0.1),
      retryBurst: z.number().min(0).max(10_000).default(20),
      /** Bodies up to this size are buffered for retries; larger ones are streamed once. */
      keepBodyBytes: z.number().int().min(0).max(16_777_216).default(65_536),
      failuresToEject: z.number().int().min(1).max(1_000).default(5),
      ejectMs: duration(1, 600_000, 2_000),
      maxEjectMs: duration(1, 3_600_000, 60_000),
      maxEjectedShare: z.number().min(0).max(1).default(0.5),
      /** How long to search for another endpoint after the connection of a watch broke. */
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
      /** Must be shorter than the lifetime of a reservation at a side. */
      claimTimeoutMs: duration(1, 60_000, 4_000),
      notStartedMs: duration(1, 600_000, 8_000),
      appendTimeoutMs: duration(1, 600_000, 10_000),
      concurrency: z.number().int().min(1).max(10_000).default(64),
      /** Longest lease of any worker, plus a margin for the drift of its clock. */
      longestLeaseMs: duration(1, 3_600_000, 65_000),
      sweepMs: duration(1, 60_000, 500),
    })
    .prefault({}),
  sides: z
    .strictObject({
      /** Longest wait of a status call without a change; a change ends the call at once. */
      syncMs: duration(10, 60_000, 10_000),
    })
    .prefault({}),
  keys: z
    .strictObject({
      /** Responses up to this size are recorded for repeats of their key. */
      keepAnswerBytes: z.number().int().min(0).max(1_048_576).default(16_384),
    })
    .prefault({}),
  drain: z
    .strictObject({
      /** How long `/readyz` reports not ready before requests are refused. */
      noticeMs: duration(0, 60_000, 2_000),
      /** Watches are closed after this time. */
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
