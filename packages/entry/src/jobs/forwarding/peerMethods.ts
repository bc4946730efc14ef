/**
 * Calls between entries, on the port on which entries listen for sides. Entries are
 * upgraded at different times: fields that are added later have defaults.
 */

import { z } from "zod";
import { idSchema, type EntryId } from "@rackspan/common";
import { JOB_STATES, type JobId, type QueueKey } from "@rackspan/state";

const peerShape = {
  entry: idSchema<EntryId>(),
  /** `IP:PORT` at which the entry serves these methods. */
  address: z.string(),
  /** Whether the entry accepts callers, which includes that it reaches the store. */
  ready: z.boolean(),
};

const jobShape = {
  queue: idSchema<QueueKey>(),
  job: idSchema<JobId>(),
};

const requestSchema = z.discriminatedUnion("kind", [
  /** `record` is the job's record, in the encoding of the topic of jobs. */
  z.object({ kind: z.literal("submit"), ...jobShape, record: z.string() }),
  z.object({ kind: z.literal("cancel"), ...jobShape }),
  z.object({ kind: z.literal("state"), ...jobShape }),
]);

/** A caller's request that one entry passes on to another. */
export type PeerRequest = z.output<typeof requestSchema>;

const outcomeSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("accepted") }),
  z.object({ kind: z.literal("known"), state: z.enum(JOB_STATES) }),
  z.object({ kind: z.literal("no-such-job") }),
  /** The request was not carried out and never will be. */
  z.object({
    kind: z.literal("refused"),
    cause: z.enum(["overload", "unavailable"]),
    reason: z.string(),
    retryAfterMs: z.number(),
  }),
  /** No repetition of the request will ever be carried out either. */
  z.object({ kind: z.literal("rejected"), reason: z.string() }),
  z.object({ kind: z.literal("unknown"), reason: z.string() }),
]);

/** What became of a request that was passed on. */
export type PeerOutcome = z.output<typeof outcomeSchema>;

export const peerMethods = {
  /** Announces the calling entry to the leader, which answers with the entries it knows. */
  announce: {
    params: z.object(peerShape),
    result: z.object({
      ready: z.boolean(),
      peers: z.array(
        z.object({
          ...peerShape,
          /** Time since the entry announced itself, milliseconds. */
          ageMs: z.number().min(0),
        }),
      ),
    }),
  },
  /** Carries out a caller's request; the serving entry never passes it on again. */
  forward: {
    params: z.object({
      request: requestSchema,
      /** Milliseconds for which the calling entry waits for the answer. */
      remainingMs: z.number().min(0),
    }),
    result: outcomeSchema,
  },
};
