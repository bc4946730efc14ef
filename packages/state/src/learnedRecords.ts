/**
 * Parameters that a leader has learned, stored for the next leader: how much images
 * slow each other down, and how far off estimates are. If they are lost, they are
 * learned again, which only takes time.
 */

import { z } from "zod";
import type { Instant } from "@rackspan/common";
import { parseRecord, TOPICS } from "./jobRecords.js";
import type { ImageName, QueueKey } from "./jobModel.js";

const imageSchema = z
  .string()
  .transform((name) => name as unknown as ImageName);
const queueSchema = z.string().transform((key) => key as unknown as QueueKey);

/**
 * Natural logarithm of a ratio of times, and its covariance below. No measurement
 * comes near these limits; values beyond them would turn forecasts into NaN.
 */
const logarithm = z.number().min(-50).max(50);
const covarianceTerm = z.number().min(-10_000).max(10_000);

const tailSchema = z.object({
  kind: z.literal("tail"),
  /** Wall-clock time at which the record was written, milliseconds. */
  writtenAt: z.number(),
  /** The serving image. */
  serving: imageSchema,
  /** Filling images, in the order of their weights in `mean`. */
  filling: z.array(imageSchema),
  /** The base, then one weight for each filling image; logarithms. */
  mean: z.array(logarithm),
  /** Lower triangle, row by row. */
  covariance: z.array(z.array(covarianceTerm)),
  /**
   * The swing of the image's load: logarithms, relative to the time of writing. Absent
   * while no forecast of it is confident.
   */
  swing: z
    .object({
      /** Milliseconds. */
      periodMs: z.number().positive(),
      level: logarithm,
      cosine: logarithm,
      sine: logarithm,
    })
    .optional(),
});

const estimatesSchema = z.object({
  kind: z.literal("estimates"),
  writtenAt: z.number(),
  /** Mean natural logarithm of (time taken / estimate), by queue. */
  corrections: z.array(z.tuple([queueSchema, logarithm])),
});

const learnedSchema = z.discriminatedUnion("kind", [
  tailSchema,
  estimatesSchema,
]);

export type LearnedTail = z.output<typeof tailSchema>;
export type LearnedEstimates = z.output<typeof estimatesSchema>;
export type LearnedRecord = z.output<typeof learnedSchema>;

/** Key under which a record is stored; there is one for each serving image. */
export const learnedKeyOf = (record: LearnedRecord): string =>
  record.kind === "tail" ? `tail:${record.serving}` : record.kind;

export const encodeLearned = (record: LearnedRecord): Buffer =>
  Buffer.from(JSON.stringify(record));

/** @throws BadRecordError */
export const decodeLearned = (key: string, value: Buffer): LearnedRecord =>
  parseRecord(TOPICS.learned, key, value, learnedSchema);

/**
 * Milliseconds since the record was written; at least 0, because
 * host clocks may differ.
 */
export const learnedRecordAgeMs = (
  record: LearnedRecord,
  now: Instant,
): number => Math.max(0, now - record.writtenAt);
