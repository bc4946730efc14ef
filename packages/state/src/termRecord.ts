/**
 * Record of the last leader's term in the topic of progress records. It tells the next
 * leader whether the placements in these records are complete.
 */

import { z } from "zod";
import { parseRecord, PROGRESS_KEYS, TOPICS } from "./jobRecords.js";

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
  parseRecord(TOPICS.progress, PROGRESS_KEYS.term, value, termSchema);
