/** Drops the records of a keyed topic that a later record of the same key replaces. */

import type { KeyedRecord } from "@rackspan/ports";

/** @param records in the order in which they were written */
export const newestOfEachKey = (
  records: readonly KeyedRecord[],
): Iterable<KeyedRecord> =>
  new Map(records.map((record) => [record.key, record])).values();
