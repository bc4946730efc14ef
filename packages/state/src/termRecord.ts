/**
 * Record of the last leader's term in the topic of progress records. It tells the next
 * leader whether the placements in these records are complete.
 */

import { z } from "zod";
import { parseRecord, TOPICS } from "./jobRecords.js";

/** Key of the record. Job ids have 16 hexadecimal digits, so no job has this key. */
export const TERM_KEY = "term";

/**
 * Keys of the topic of progress records that belong to no job: the last term, and the
 * load summary of the leader.
 */
export const RESERVED_PROGRESS_KEYS: ReadonlySet<string> = new Set([
  TERM_KEY,
  "load",
]);

const termSchema = z.object({
  /** Epoch of the leader that wrote the record. */
  epoch: z.number(),
  /**
   * Epoch since which every leader has recorded all placements. Absent if the last leader
   * recorded none, or did not know yet where all tasks were.
   */
  placementsSince: z.number().optional(),
});

export type TermRecord = z.output<typeof termSchema>;

export const encodeTerm = (term: TermRecord): Buffer =>
  Buffer.from(JSON.stringify(term));

/** @throws BadRecordError */
export const decodeTerm = (value: Buffer): TermRecord =>
  parseRecord(TOPICS.progress, TERM_KEY, value, termSchema);
