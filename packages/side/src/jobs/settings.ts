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

/** A bound that the platform guarantees, milliseconds; each is optional. */
const boundSchema = z.number().int().min(0).max(3_600_000);

export const jobSideSettingsSchema = z.strictObject({
  host: idSchema<HostId>(),
  availabilityZone: idSchema<AvailabilityZone>(),
  /** Plug-ins for the platform. */
  platform: z.strictObject({
    client: z.string().min(1),
    store: endpointSchema,
  }),
  /** The worker on this host. */
  worker: z.strictObject({
    address: endpointSchema,
    /** Heartbeats of any other service are ignored; all are accepted when left out. */
    service: idSchema<ServiceName>().optional(),
    /**
     * Whether each incarnation of the worker is called under its own sub-epoch, so that none
     * carries out what was sent to a previous one. Incarnations that were called this way
     * reject calls of sides without this setting.
     */
    fencesLives: z.boolean().default(false),
  }),
  /** The address at which the side receives the worker's heartbeats. */
  inbox: listenAddressSchema,
  /** Some entries, any of which may no longer exist; tried while the store is unavailable. */
  entries: z.array(endpointSchema).default([]),
  /** The port on which entries accept connections of sides. */
  entryPort: portSchema,
  /** Bounds for the time for which the worker continues once this process is gone. */
  leases: z
    .strictObject({
      /** Silence after which the platform considers a host out of touch. */
      outOfTouchMs: boundSchema.optional(),
      /** Time within which the tasks of a cancelled job must be ordered to stop. */
      cancelMs: boundSchema.optional(),
      /** Longest time that the worker takes to stop a task. */
      stopMs: boundSchema.optional(),
      /** Longest time that a lasting task may be without a run. */
      lastingGapMs: boundSchema.optional(),
      /** Longest lease that the worker accepts; it shortens longer ones to this. */
      longestMs: boundSchema.optional(),
    })
    .prefault({}),
  pacing: z
    .strictObject({
      /**
       * Longest time that a serving task's tail may stay over its target without a break,
       * milliseconds: what the users' service agreement allows.
       */
      tailGraceMs: z.number().int().min(100).max(600_000).default(4_000),
      /** Share of its target at which a tail is held while filling tasks could use more. */
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
