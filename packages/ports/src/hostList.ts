/** Port to the platform's host list, which lags behind reality. */

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
  /** `entry` hosts take callers in; `endpoint` hosts run tasks beside a side process. */
  role: z.enum(["entry", "endpoint"]),
  /** IP and port of our process on that host. */
  address: z.string().min(1).max(100),
  availabilityZone: idSchema<AvailabilityZone>(),
  rack: idSchema<Rack>(),
  state: z.enum(["live", "leaving"]),
});

export type HostRecord = z.infer<typeof hostRecordSchema>;

/** A host that is replaced shows a higher generation; one that is gone is absent. */
export interface HostList {
  /** @throws HostListUnavailableError */
  list(signal?: AbortSignal): Promise<readonly HostRecord[]>;
}
