/**
 * What a leader has learnt while it led, kept for the next one: how images
 * disturb each other, and how far off estimates are. Losing it costs only time.
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
 * A natural logarithm of a ratio of times, and its spread. Nothing that is measured
 * comes near the limit; beyond it forecasts would come out as no numbers.
 */
const logarithm = z.number().min(-50).max(50);
const covarianceTerm = z.number().min(-10_000).max(10_000);

const tailSchema = z.object({
  kind: z.literal("tail"),
  /** Time of day at which it was written, milliseconds. */
  writtenAt: z.number(),
  /** The serving image. */
  serving: imageSchema,
  /** Filling images, in the order of their weights in `mean`. */
  filling: z.array(imageSchema),
  /** The base, then a weight for each filling image; logarithms. */
  mean: z.array(logarithm),
  /** Lower triangle, row by row. */
  covariance: z.array(z.array(covarianceTerm)),
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

/** The key under which a record is kept; one for each serving image. */
export const learnedKeyOf = (record: LearnedRecord): string =>
  record.kind === "tail" ? `tail:${record.serving}` : record.kind;

export const encodeLearned = (record: LearnedRecord): Buffer =>
  Buffer.from(JSON.stringify(record));

/** @throws BadRecordError */
export const decodeLearned = (key: string, value: Buffer): LearnedRecord =>
  parseRecord(TOPICS.learned, key, value, learnedSchema);

/** Milliseconds since the record was written; clocks of hosts may disagree. */
export const learnedRecordAgeMs = (
  record: LearnedRecord,
  now: Instant,
): number => Math.max(0, now - record.writtenAt);
