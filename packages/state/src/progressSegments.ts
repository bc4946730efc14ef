/**
 * Segments: records with the progress of some tasks of a job, for a job whose progress does
 * not fit into one record. They lie beside the job's own record, its head, in the topic
 * `progress`. The progress of the job is the union of both.
 */

import { z } from "zod";
import type { TopicName } from "@rackspan/ports";
import {
  parseRecord,
  storedTaskProgressSchema,
  toStoredTaskProgress,
  withDoubted,
  type ProgressRecord,
  type TaskProgress,
} from "./jobRecords.js";
import type { JobId } from "./jobModel.js";

/** Consecutive tasks of one step. */
export interface TaskRange {
  readonly occurrence: number;
  readonly step: number;
  /** Indices of the first and of the last task. */
  readonly first: number;
  readonly last: number;
}

const SEGMENT_KEY = /^(.+)\/(\d+)\.(\d+)\.(\d+)-(\d+)$/;

/** @returns `job/occurrence.step.first-last` */
export const segmentKeyOf = (
  job: JobId,
  { occurrence, step, first, last }: TaskRange,
): string => `${job}/${occurrence}.${step}.${first}-${last}`;

/** @returns undefined if the key is not that of a segment */
export const parseSegmentKey = (
  key: string,
): { readonly job: JobId; readonly range: TaskRange } | undefined => {
  const match = SEGMENT_KEY.exec(key);
  if (!match) return undefined;
  const [, job, ...numbers] = match;
  const [occurrence, step, first, last] = numbers.map(Number) as [
    number,
    number,
    number,
    number,
  ];
  return {
    job: job as unknown as JobId,
    range: { occurrence, step, first, last },
  };
};

const segmentSchema = z.object(storedTaskProgressSchema).transform(withDoubted);

export const encodeSegment = (progress: TaskProgress): Buffer =>
  Buffer.from(JSON.stringify(toStoredTaskProgress(progress)));

/** @throws BadRecordError */
export const decodeSegment = (
  topic: TopicName,
  key: string,
  value: Buffer,
): TaskProgress => parseRecord(topic, key, value, segmentSchema);

/** Progress of a job whose segments were written, but whose head was not. */
const MISSING_HEAD: ProgressRecord = {
  state: "queued",
  begun: false,
  endedAt: 0,
  done: {},
  failures: [],
  checkpoints: [],
  crashes: [],
  announced: [],
};

/**
 * Joins the head of a job's progress and its segments. Segments are newer than what the
 * head says of the same tasks, so they come last.
 */
export const joinSegments = (
  head: ProgressRecord = MISSING_HEAD,
  segments: ReadonlyMap<string, TaskProgress>,
): ProgressRecord => {
  const parts: TaskProgress[] = [head, ...segments.values()];
  const done: Record<string, string> = {};
  for (const part of parts) {
    for (const [step, indices] of Object.entries(part.done))
      done[step] = done[step] ? `${done[step]},${indices}` : indices;
  }
  return {
    ...head,
    done,
    failures: parts.flatMap(({ failures }) => failures),
    checkpoints: parts.flatMap(({ checkpoints }) => checkpoints),
    crashes: parts.flatMap(({ crashes }) => crashes),
    announced: parts.flatMap(({ announced }) => announced),
    // Without placements in the head those of the segments are not to be trusted.
    ...(head.placed && { placed: parts.flatMap(({ placed = [] }) => placed) }),
    segments: [...segments.keys()],
  };
};
