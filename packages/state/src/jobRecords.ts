/** Topics of the store, and the encoding of job records. */

import { z } from "zod";
import {
  RackspanError,
  type Instant,
  type ServiceName,
} from "@rackspan/common";
import type { TopicName } from "@rackspan/ports";
import { countTasks, JOB_LIMITS, dependsOnEarlierSteps } from "./jobLimits.js";
import {
  JOB_STATES,
  type ImageName,
  type JobId,
  type JobSpec,
  type QueueKey,
  type StepSpec,
} from "./jobModel.js";

/** Keyed topics of rackspan. */
export const TOPICS = {
  /** Key: job id. Written by the entry that accepts the job. */
  jobs: "jobs" as TopicName,
  /** Key: job id. Written by the entry that accepts the cancel. */
  cancels: "cancels" as TopicName,
  /** Key: job id, or one of PROGRESS_KEYS. Written by the leader. */
  progress: "progress" as TopicName,
  /** Key: host name. Written by the leader before it first grants a lease there. */
  hosts: "hosts" as TopicName,
  /** Key: see learnedKeyOf. Written by the leader, read by the next one. */
  learned: "learnt" as TopicName,
  /** Key `config`: written by the operator. */
  config: "config" as TopicName,
  /** Never written: the member that owns its only partition is the leader. */
  leadership: "leadership" as TopicName,
} as const;

/** Keys of topic `progress` that are not ids of jobs. */
export const PROGRESS_KEYS = {
  /** The leader's load summary. */
  load: "load",
  /** The leader's term. */
  term: "term",
} as const;

const NO_JOB_KEYS: ReadonlySet<string> = new Set(Object.values(PROGRESS_KEYS));

/** Whether a key of topic `progress` is the id of a job. */
export const isJobKey = (key: string): boolean => !NO_JOB_KEYS.has(key);

export class BadRecordError extends RackspanError {
  readonly kind = "bad-record";
  constructor(topic: TopicName, key: string, cause: unknown) {
    super({
      what: `the record ${key} of topic ${topic} cannot be read: ${String(cause)}`,
      remedy: "check which version wrote it; the record is ignored",
      cause,
    });
  }
}

const stepSchema = z.object({
  taskCount: z.number().int().positive().max(JOB_LIMITS.tasksPerStep),
  demand: z.object({
    milliCores: z.number().nonnegative(),
    memoryMiB: z.number().nonnegative(),
    accelerators: z.number().nonnegative(),
  }),
  estimateMs: z.number().nonnegative().default(0),
  after: z.array(z.number().int().nonnegative()).default([]),
  checkpointing: z.boolean().default(false),
  gang: z.boolean().default(false),
  sameRack: z.boolean().default(false),
  requiredLabel: z.string().default(""),
  dataRack: z.string().default(""),
  maxPerHost: z.number().int().nonnegative().default(0),
  replicable: z.boolean().default(false),
  lasting: z.boolean().default(false),
  image: z
    .string()
    .default("")
    .transform((name) => name as unknown as ImageName),
  tailTargetMs: z.number().nonnegative().default(0),
  filling: z.boolean().default(false),
  mayMiss: z.number().int().nonnegative().optional(),
});

const jobRecordSchema = z.object({
  queue: z.string().transform((key) => key as unknown as QueueKey),
  payload: z.string(),
  steps: z
    .array(stepSchema)
    .min(1)
    .max(JOB_LIMITS.steps)
    .refine(dependsOnEarlierSteps, "a step depends on one that is not earlier")
    .refine(
      (steps) => countTasks(steps) <= JOB_LIMITS.tasksPerJob,
      "too many tasks",
    ),
  repeat: z
    .object({
      count: z.number().int().positive().max(JOB_LIMITS.repeats),
      firstAt: z.number(),
      intervalMs: z.number().nonnegative(),
    })
    .optional(),
  acceptedAt: z.number(),
  /** Terms of the queue when the job was accepted, for use after the queue is removed. */
  terms: z.object({
    service: z.string().transform((name) => name as unknown as ServiceName),
    priority: z.number(),
    maxAttempts: z.number(),
    stretch: z.number(),
    targetLatencyMs: z.number(),
    permitRule: z
      .object({
        decideMs: z.number(),
        eachMs: z.number(),
        validMs: z.number(),
      })
      .optional(),
  }),
});

export type JobTerms = z.output<typeof jobRecordSchema>["terms"];

export interface AcceptedJob {
  readonly spec: JobSpec;
  /** Wall-clock time of the accepting entry. */
  readonly acceptedAt: Instant;
  readonly terms: JobTerms;
}

const NO_DEFAULTS: ReadonlySet<unknown> = new Set(["", 0, false, undefined]);

/** Omits the fields whose values the schema supplies as defaults. */
const encodeStep = (step: StepSpec): object =>
  Object.fromEntries(
    Object.entries(step).filter(
      ([name, value]) =>
        name === "mayMiss" || !NO_DEFAULTS.has(value as unknown),
    ),
  );

export const encodeJob = ({ spec, acceptedAt, terms }: AcceptedJob): Buffer =>
  Buffer.from(
    JSON.stringify({
      queue: spec.queue,
      payload: spec.payload,
      steps: spec.steps.map(encodeStep),
      repeat: spec.repeat,
      acceptedAt,
      terms,
    }),
  );

/** @param at wall-clock time at which the entry accepted the cancel */
export const encodeCancel = (at: Instant): Buffer =>
  Buffer.from(JSON.stringify({ at }));

const cancelSchema = z.object({ at: z.number() });

/** @throws BadRecordError */
export const decodeCancel = (key: string, value: Buffer): Instant =>
  parseRecord(TOPICS.cancels, key, value, cancelSchema).at;

/** @throws BadRecordError */
export const parseRecord = <S extends z.ZodType>(
  topic: TopicName,
  key: string,
  value: Buffer,
  schema: S,
): z.output<S> => {
  try {
    return schema.parse(JSON.parse(value.toString("utf8")));
  } catch (err) {
    throw new BadRecordError(topic, key, err);
  }
};

/** @throws BadRecordError */
export const decodeJob = (key: string, value: Buffer): AcceptedJob => {
  const record = parseRecord(TOPICS.jobs, key, value, jobRecordSchema);
  const { queue, payload, steps, repeat, acceptedAt, terms } = record;
  const id = key as unknown as JobId;
  const complete = steps.map((step) => ({ ...step, mayMiss: step.mayMiss }));
  return {
    spec: { id, queue, payload, steps: complete, repeat },
    acceptedAt,
    terms,
  };
};

const INDEX_LIST = /^(\d+(-\d+)?(,\d+(-\d+)?)*)?$/;

/** Whether the text is a list of at most so many indices; see encodeIndices. */
const isListOf = (text: string, maxCount: number): boolean => {
  if (!INDEX_LIST.test(text)) return false;
  const sizes = parseRanges(text).map(([first, last]) => last - first + 1);
  const count = sizes.reduce((sum, size) => sum + size, 0);
  return count <= maxCount && sizes.every((size) => size > 0);
};

/** Whether the text is a list of indices that one step can have. */
const isIndexList = (text: string): boolean =>
  isListOf(text, JOB_LIMITS.tasksPerStep);

/** Whether the text is a list of occurrences that one job can have. */
const isOccurrenceList = (text: string): boolean =>
  isListOf(text, JOB_LIMITS.repeats);

/**
 * Evidence that leaders of earlier versions can read; they reject a
 * record with any other value.
 */
const STORED_EVIDENCE = [
  "sole",
  "young",
  "unanswered",
  "unknown",
  "unseen",
  "settled",
  "unheard",
  "lost",
] as const;

/**
 * What a run that was lost with its worker indicates about its task;
 * see CrashLog in jobs.
 */
export type CrashEvidence = (typeof STORED_EVIDENCE)[number] | "doubted";

/** `host 0.0:0-3,5 0.1:2`; see `placed`. */
const PLACED_TASKS = /^\S+( \d+\.\d+:\d+(-\d+)?(,\d+(-\d+)?)*)+$/;

/** Progress of tasks, in the records of their job. */
export const storedTaskProgressSchema = {
  /** Maps `occurrence.step` to the indices of its completed tasks, as ranges `a-b`. */
  done: z.record(z.string(), z.string().refine(isIndexList)),
  /** `occurrence.step.index` and the numbers of its runs that failed. */
  failures: z.array(z.tuple([z.string(), z.array(z.number())])),
  /** `occurrence.step.index` and the checkpoint from which its next run continues. */
  checkpoints: z.array(z.tuple([z.string(), z.string()])),
  /** `occurrence.step.index` and its runs that were lost with their workers. */
  crashes: z
    .array(
      z.tuple([
        z.string(),
        z.array(z.tuple([z.number(), z.enum(STORED_EVIDENCE)])),
      ]),
    )
    .default([]),
  /** Runs in `crashes` that are stored as `young` but are `doubted`. */
  doubted: z.array(z.number()).default([]),
  /**
   * `occurrence.step.index` and its run that may be in progress; for
   * suspected tasks only.
   */
  announced: z.array(z.tuple([z.string(), z.number()])).default([]),
  /**
   * Hosts, each with the tasks that were last started there and may still run: the host's
   * name, and `occurrence.step:indices` for each step, with the indices as ranges. Absent
   * if the tasks may be on any host, as in records of leaders that record no placements.
   * Texts, because a new leader reads them for all tasks of a site before its first start.
   */
  placed: z.array(z.string().regex(PLACED_TASKS)).optional(),
};

type StoredTaskProgress = z.output<
  z.ZodObject<typeof storedTaskProgressSchema>
>;

const storedProgressSchema = z.object({
  state: z.enum(JOB_STATES),
  /**
   * Whether a task of the job has begun. Leaders of earlier versions also wrote `true` when
   * they had placed a task whose start was refused later; see hasBegun.
   */
  begun: z.boolean(),
  /** `true` confirms `begun` if the record contains no other evidence for it. */
  hasBegun: z.boolean().optional(),
  /** Wall-clock time of the leader when the state became final; 0 before. */
  endedAt: z.number(),
  ...storedTaskProgressSchema,
  /** Epoch of the leader that wrote `placed`. */
  placedEpoch: z.number().optional(),
  /**
   * Numbers of the completed occurrences, as ranges, of a job with segments. Such a record
   * names their tasks neither in `done` nor in a segment.
   */
  doneOccurrences: z.string().refine(isOccurrenceList).optional(),
});

/** Progress of tasks of a job; see storedTaskProgressSchema. */
export interface TaskProgress extends Omit<
  StoredTaskProgress,
  "crashes" | "doubted"
> {
  /** `occurrence.step.index` and its runs that were lost with their workers. */
  readonly crashes: [string, [number, CrashEvidence][]][];
}

/** Progress of a job, as last recorded by the leader. */
export interface ProgressRecord
  extends
    TaskProgress,
    Pick<
      z.output<typeof storedProgressSchema>,
      "state" | "begun" | "endedAt" | "placedEpoch" | "doneOccurrences"
    > {
  /** Keys of the job's segments, if their progress was joined with that of this record. */
  readonly segments?: readonly string[];
}

const mapEvidence = <From, To>(
  crashes: readonly (readonly [string, readonly (readonly [number, From])[]])[],
  map: (run: number, evidence: From) => To,
): [string, [number, To][]][] =>
  crashes.map(([key, runs]) => [
    key,
    runs.map(([run, evidence]) => [run, map(run, evidence)]),
  ]);

/** Replaces the stored evidence of doubted runs. */
export const withDoubted = <T extends StoredTaskProgress>({
  doubted,
  crashes,
  ...rest
}: T) => ({
  ...rest,
  crashes: mapEvidence(crashes, (run, evidence): CrashEvidence =>
    evidence === "young" && doubted.includes(run) ? "doubted" : evidence,
  ),
});

const progressSchema = storedProgressSchema
  .transform(withDoubted)
  .transform(({ hasBegun = false, ...progress }) => ({
    ...progress,
    begun: progress.begun && (hasBegun || hasBegunTask(progress)),
  }));

/** Whether the progress itself shows that a worker has started a task. */
export const hasBegunTask = ({
  done,
  failures,
  checkpoints,
  doneOccurrences = "",
}: Pick<TaskProgress, "done" | "failures" | "checkpoints"> &
  Partial<Pick<ProgressRecord, "doneOccurrences">>): boolean =>
  Object.keys(done).length > 0 ||
  failures.length > 0 ||
  checkpoints.length > 0 ||
  doneOccurrences !== "";

/** The inverse of withDoubted. */
export const toStoredTaskProgress = <T extends TaskProgress>(
  record: T,
): Omit<T, "crashes"> & StoredTaskProgress => {
  const doubted: number[] = [];
  const crashes = mapEvidence(record.crashes, (run, evidence) => {
    if (evidence !== "doubted") return evidence;
    doubted.push(run);
    return "young";
  });
  return { ...record, crashes, doubted };
};

export const encodeProgress = (record: ProgressRecord): Buffer =>
  Buffer.from(
    JSON.stringify({
      ...toStoredTaskProgress(record),
      hasBegun: record.begun && !hasBegunTask(record) ? true : undefined,
      segments: undefined,
    }),
  );

/** @throws BadRecordError */
export const decodeProgress = (key: string, value: Buffer): ProgressRecord =>
  parseRecord(TOPICS.progress, key, value, progressSchema);

/** Encodes indices as ranges: `[0,1,2,5]` becomes `0-2,5`. */
export const encodeIndices = (indices: Iterable<number>): string => {
  const sorted = [...indices].sort((a, b) => a - b);
  const ranges: string[] = [];
  for (let at = 0; at < sorted.length;) {
    let last = at;
    while (sorted[last + 1] === (sorted[last] as number) + 1) last += 1;
    ranges.push(
      last === at ? `${sorted[at]}` : `${sorted[at]}-${sorted[last]}`,
    );
    at = last + 1;
  }
  return ranges.join(",");
};

export const decodeIndices = (text: string): number[] =>
  parseRanges(text).flatMap(([first, last]) =>
    Array.from({ length: last - first + 1 }, (_, n) => first + n),
  );

/** First and last index of each range. */
const parseRanges = (text: string): [number, number][] =>
  text === ""
    ? []
    : text.split(",").map((range) => {
        const [first, last] = range.split("-").map(Number) as [number, number?];
        return [first, last ?? first];
      });
