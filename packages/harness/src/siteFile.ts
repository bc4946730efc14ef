/** Schema and loader of `site.jsonc`, which describes the stand-in platform of an example. */

import { z } from "zod";
import {
  idSchema,
  type AvailabilityZone,
  type HostId,
  type Rack,
} from "@rackspan/common";
import { loadSettings } from "@rackspan/kernel";

const portSchema = z.number().int().min(0).max(65_535).default(0);

const locationSchema = {
  host: idSchema<HostId>(),
  availabilityZone: idSchema<AvailabilityZone>(),
  rack: idSchema<Rack>(),
};

export const siteSchema = z.strictObject({
  logPort: portSchema,
  hostListPort: portSchema,
  worker: z.strictObject({ processors: z.number(), memoryMiB: z.number() }),
  entries: z.array(
    z.strictObject({
      ...locationSchema,
      port: portSchema,
      controlPort: portSchema,
    }),
  ),
  workers: z.array(
    z.strictObject({
      ...locationSchema,
      accelerators: z.number().int().min(0).default(0),
      sidePort: portSchema,
      workerPort: portSchema,
    }),
  ),
});

export type SiteDescription = z.infer<typeof siteSchema>;

/** @throws SettingsError */
export const loadSite = (file: string): SiteDescription =>
  loadSettings({ file, schema: siteSchema });

export interface DescribeSiteOptions {
  readonly workers: number;
  readonly entries: number;
  readonly processors?: number;
}

const ZONES = ["zone-a", "zone-b", "zone-c"] as const;
const HOSTS_PER_RACK = 3;

/** Describes a site of the given size, for tests and benchmarks. */
export const describeSite = (options: DescribeSiteOptions): SiteDescription => {
  const place = (kind: string, index: number) => {
    const zone = ZONES[index % ZONES.length] as string;
    const rack = `${zone}-r${Math.floor(index / ZONES.length / HOSTS_PER_RACK)}`;
    return { host: `${kind}-${index + 1}`, availabilityZone: zone, rack };
  };
  return siteSchema.parse({
    worker: { processors: options.processors ?? 32, memoryMiB: 128_000 },
    entries: Array.from({ length: options.entries }, (_, i) =>
      place("entry", i),
    ),
    workers: Array.from({ length: options.workers }, (_, i) =>
      place("host", i),
    ),
  });
};
