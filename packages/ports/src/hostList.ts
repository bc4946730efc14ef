/** Port to the platform's host list, whose data may be out of date. */

import { z } from "zod";
import {
  countSchema,
  idSchema,
  type AvailabilityZone,
  type HostGeneration,
  type HostId,
  type Rack,
} from "@rackspan/common";

export const hostRecordSchema = z.object({
  host: idSchema<HostId>(),
  generation: countSchema<HostGeneration>(),
  /**
   * `entry` hosts accept callers; `endpoint` hosts run tasks,
   * managed by a side process.
   */
  role: z.enum(["entry", "endpoint"]),
  /** IP and port of the rackspan process on that host. */
  address: z.string().min(1).max(100),
  availabilityZone: idSchema<AvailabilityZone>(),
  rack: idSchema<Rack>(),
  state: z.enum(["live", "leaving"]),
});

export type HostRecord = z.infer<typeof hostRecordSchema>;

/** Lists the hosts. A replaced host has a higher generation; a removed one is absent. */
export interface HostList {
  /** @throws HostListUnavailableError */
  list(signal?: AbortSignal): Promise<readonly HostRecord[]>;
}
