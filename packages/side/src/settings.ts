/** Settings of a side process. */

import { z } from "zod";
import {
  countSchema,
  idSchema,
  type AvailabilityZone,
  type HostGeneration,
  type HostId,
  type Rack,
} from "@rackspan/common";
import { workers } from "@rackspan/ports";

export const sideSettingsSchema = z.strictObject({
  /** Name of this host in the host list. */
  host: idSchema<HostId>(),
  /** Increased by the platform each time the host is replaced. */
  generation: countSchema<HostGeneration>(),
  availabilityZone: idSchema<AvailabilityZone>(),
  rack: idSchema<Rack>(),
  listen: z.strictObject({
    address: z.union([z.ipv4(), z.ipv6()]),
    port: z.number().int().min(0).max(65_535),
  }),
  /** The worker on this host. */
  worker: z.strictObject({
    url: z.url({ protocol: /^http$/ }),
    /** The worker client, which determines the wire format. */
    client: z.enum(workers.names() as [string, ...string[]]).default("http"),
  }),
  security: z.strictObject({
    /** In this mode peers and operators are not authenticated, so it must be set explicitly. */
    mode: z.literal("development"),
  }),
  admission: z
    .strictObject({
      /** Limit of requests that run at the endpoints of this host at once. */
      slots: z.number().int().min(1).max(10_000).default(8),
      /** Limit of requests and watches that are open at once. */
      connections: z.number().int().min(1).max(100_000).default(64),
      /** Limit of requests that wait for a slot. */
      maxQueued: z.number().int().min(0).max(10_000).default(16),
    })
    .prefault({}),
  tasks: z
    .strictObject({
      leaseMs: z.number().int().min(100).max(600_000).default(10_000),
      renewEveryMs: z.number().int().min(10).max(300_000).default(2_000),
      reservationTtlMs: z.number().int().min(10).max(60_000).default(5_000),
    })
    .prefault({}),
  drain: z
    .strictObject({
      /** How long requests are still accepted after the entries were notified of a planned stop. */
      noticeMs: z.number().int().min(0).max(60_000).default(2_000),
      /** Watches that have not been moved are closed after this. */
      limitMs: z.number().int().min(0).max(3_600_000).default(30_000),
    })
    .prefault({}),
  limits: z
    .strictObject({
      maxHeaderBytes: z
        .number()
        .int()
        .min(1_024)
        .max(1_048_576)
        .default(32_768),
      /** Limit of request attempts whose state is kept, to answer fence requests. */
      fencesKept: z.number().int().min(100).max(10_000_000).default(100_000),
    })
    .prefault({}),
  logLevel: z
    .enum(["error", "warn", "info", "debug", "silent"])
    .default("info"),
});

export type SideSettings = z.infer<typeof sideSettingsSchema>;
