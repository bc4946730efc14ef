/** Stored record of a host: the incarnation of its worker that may hold leases. */

import { z } from "zod";
import type { WorkerInstance } from "@rackspan/common";
import { parseRecord, TOPICS } from "./jobRecords.js";

const hostSchema = z.object({
  /** Absent in records of earlier versions, which recorded only the host. */
  instance: z
    .string()
    .transform((text) => text as unknown as WorkerInstance)
    .optional(),
});

export const encodeHost = (instance: WorkerInstance): Buffer =>
  Buffer.from(JSON.stringify({ instance }));

/**
 * @returns the incarnation that may hold leases; undefined when any incarnation may
 * @throws BadRecordError
 */
export const decodeHost = (
  key: string,
  value: Buffer,
): WorkerInstance | undefined =>
  parseRecord(TOPICS.hosts, key, value, hostSchema).instance;
