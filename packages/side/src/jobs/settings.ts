/** Settings of a side process that runs the tasks of jobs. */

import { z } from "zod";
import {
  endpointSchema,
  idSchema,
  listenAddressSchema,
  type AvailabilityZone,
  type HostId,
  type ServiceName,
} from "@rackspan/common";

const portSchema = z.number().int().min(0).max(65_535);

/** A bound that the platform states, milliseconds; it may be none at all. */
const boundSchema = z.number().int().min(0).max(3_600_000);

export const jobSideSettingsSchema = z.strictObject({
  host: idSchema<HostId>(),
  availabilityZone: idSchema<AvailabilityZone>(),
  /** The plug-ins for the platform. */
  platform: z.strictObject({
    client: z.string().min(1),
    store: endpointSchema,
  }),
  /** Where the worker on this host takes calls. */
  worker: z.strictObject({
    address: endpointSchema,
    /** Heartbeats of any other service are passed over; all count when left out. */
    service: idSchema<ServiceName>().optional(),
    /**
     * Whether each of its lives is called under a part of the epoch of its own, so that
     * none carries out what was sent before. Sides that do not know this are refused by
     * lives that were called so.
     */
    fencesLives: z.boolean().default(false),
  }),
  /** Where it reports itself. */
  inbox: listenAddressSchema,
  /** Some entries, any of which may be gone; asked while the store is away. */
  entries: z.array(endpointSchema).default([]),
  /** The port at which entries take connections of sides. */
  entryPort: portSchema,
  /** What bounds the time for which the worker goes on once this process is gone. */
  leases: z
    .strictObject({
      /** Silence after which the platform takes a host to be out of touch. */
      outOfTouchMs: boundSchema.optional(),
      /** Time within which the tasks of a cancelled job are to be ordered to stop. */
      cancelMs: boundSchema.optional(),
      /** Time that the worker may take to stop a task. */
      stopMs: boundSchema.optional(),
      /** Longest time that a lasting task may be without a run. */
      lastingGapMs: boundSchema.optional(),
      /** Longest lease that the worker takes; it cuts longer ones to this. */
      longestMs: boundSchema.optional(),
    })
    .prefault({}),
  pacing: z
    .strictObject({
      /**
       * Milliseconds for which a serving task's tail may stay over its target
       * on end: what the users' service agreement allows.
       */
      tailGraceMs: z.number().int().min(100).max(600_000).default(4_000),
      /** Share of its target at which a tail is held while filling tasks want more. */
      tailAim: z.number().min(0.1).max(2).default(0.9),
    })
    .prefault({}),
  /** Time for a planned stop. */
  graceSeconds: z.number().min(0).max(3_600).default(6),
  metrics: listenAddressSchema.optional(),
  logLevel: z
    .enum(["error", "warn", "info", "debug", "silent"])
    .default("info"),
});

export type JobSideSettings = z.infer<typeof jobSideSettingsSchema>;
