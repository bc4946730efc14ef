/** Which life of a host's worker may hold leases, as the store keeps it. */

import { z } from "zod";
import type { WorkerInstance } from "@rackspan/common";
import { parseRecord, TOPICS } from "./jobRecords.js";

const hostSchema = z.object({
  /** Earlier versions named the host alone. */
  instance: z
    .string()
    .transform((text) => text as unknown as WorkerInstance)
    .optional(),
});

export const encodeHost = (instance: WorkerInstance): Buffer =>
  Buffer.from(JSON.stringify({ instance }));

/**
 * @returns the life that may hold leases; undefined when any life may
 * @throws BadRecordError
 */
export const decodeHost = (
  key: string,
  value: Buffer,
): WorkerInstance | undefined =>
  parseRecord(TOPICS.hosts, key, value, hostSchema).instance;
