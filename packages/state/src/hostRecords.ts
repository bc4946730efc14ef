/** Stored record of a host: the incarnation of its worker that may hold leases. */

import { z } from "zod";
import type { WorkerInstance } from "@rackspan/common";
import { parseRecord, TOPICS } from "./jobRecords.js";

const instanceSchema = z
  .string()
  .transform((text) => text as unknown as WorkerInstance)
  .optional();

const hostSchema = z.object({
  /** Absent in records of earlier versions, which recorded only the host. */
  instance: instanceSchema,
  /**
   * The incarnation, in records of leaders that record placements. Versions that know no
   * placements find no incarnation in such a record and write it anew before they start
   * anything on the host, which tells a later leader that placements are missing.
   */
  instanceWithPlacements: instanceSchema,
});

/** A stored host. */
export interface StoredHost {
  /** Undefined when any incarnation may hold leases. */
  readonly instance: WorkerInstance | undefined;
  /** Whether a leader that records placements wrote the record. */
  readonly hasPlacements: boolean;
}

/** @param hasPlacements whether the leader records all placements */
export const encodeHost = (
  instance: WorkerInstance | undefined,
  hasPlacements = false,
): Buffer =>
  Buffer.from(
    JSON.stringify(
      hasPlacements ? { instanceWithPlacements: instance ?? "" } : { instance },
    ),
  );

/** @throws BadRecordError */
export const decodeStoredHost = (key: string, value: Buffer): StoredHost => {
  const record = parseRecord(TOPICS.hosts, key, value, hostSchema);
  const { instance, instanceWithPlacements: placing } = record;
  if (placing === undefined) return { instance, hasPlacements: false };
  const isNamed = (placing as unknown as string) !== "";
  return { instance: isNamed ? placing : undefined, hasPlacements: true };
};

/**
 * @returns the incarnation that may hold leases; undefined when any incarnation may
 * @throws BadRecordError
 */
export const decodeHost = (
  key: string,
  value: Buffer,
): WorkerInstance | undefined => decodeStoredHost(key, value).instance;
