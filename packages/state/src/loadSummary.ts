/**
 * Pending work and free capacity, published by the leader so that each entry can tell
 * whether a job can still be served. If the record is lost, no job is refused.
 */

import { z } from "zod";
import type { ServiceName } from "@rackspan/common";
import { parseRecord, TOPICS } from "./jobRecords.js";
import type { QueueKey } from "./jobModel.js";

const amount = z.number().nonnegative();

const capacitySchema = z.object({
  /** Millicores that work of this priority may use, summed over the hosts. */
  freeMilliCores: amount,
  /** The largest demand that one host can still hold, millicores; 0 for none. */
  largestMilliCores: amount,
});

const prioritySchema = z.object({
  priority: z.number(),
  plain: capacitySchema,
  filling: capacitySchema,
  /** Core-milliseconds of pending work by density bucket; see densityBucketOf. */
  pending: z.array(z.tuple([z.number().int(), amount])),
  /** Core-milliseconds done per millisecond lately. */
  ratePerMs: amount,
  /**
   * Whether tasks of this priority found no host while the rate was measured. Otherwise
   * the rate shows how much was asked for, not how much can be done.
   */
  isSaturated: z.boolean(),
});

const serviceSchema = z.object({
  service: z.string().transform((name) => name as unknown as ServiceName),
  priorities: z.array(prioritySchema),
});

const queueSchema = z.object({
  queue: z.string().transform((key) => key as unknown as QueueKey),
  /** Run times that were seen, relative to the declared ones. */
  runTimeRatio: amount,
  /** Mean work of the queue's jobs, core-milliseconds. */
  meanWork: amount,
});

const loadSummarySchema = z.object({
  epoch: z.number(),
  /** Wall-clock time of the leader, milliseconds. */
  writtenAt: z.number(),
  services: z.array(serviceSchema),
  queues: z.array(queueSchema),
});

const storedSchema = z.object({ load: loadSummarySchema });

export type LoadSummary = z.output<typeof loadSummarySchema>;
export type ServiceLoad = z.output<typeof serviceSchema>;
export type PriorityLoad = z.output<typeof prioritySchema>;
export type QueueLoad = z.output<typeof queueSchema>;
export type FreeCapacity = z.output<typeof capacitySchema>;

/**
 * Fields of a job's progress. Former versions take the key for a job's id, and ignore
 * progress of a job that does not exist, but log each record that they cannot read.
 */
const AS_PROGRESS = {
  state: "completed",
  begun: false,
  endedAt: 0,
  done: {},
  failures: [],
  checkpoints: [],
} as const;

export const encodeLoadSummary = (load: LoadSummary): Buffer =>
  Buffer.from(JSON.stringify({ ...AS_PROGRESS, load }));

/** @throws BadRecordError */
export const decodeLoadSummary = (key: string, value: Buffer): LoadSummary =>
  parseRecord(TOPICS.progress, key, value, storedSchema).load;
