/**
 * Records of the log. Every process applies them in the same order with the same
 * fold, so the effect of a record may depend on earlier records only.
 */

import { z } from "zod";
import {
  countSchema,
  idSchema,
  type HostGeneration,
  type HostId,
  type RequestId,
  type ReservationId,
  type Sequence,
  type ServiceName,
  type UnitId,
} from "@rackspan/common";
import { endKindSchema } from "@rackspan/protocol";
import { declarationSchema, jobSchema, nameSchema } from "./declarations.js";

/** Incremented when a record changes in a way that older versions cannot read. */
export const RECORD_VERSION = 1;

const MAX_CHANGES = 10_000;
const MAX_TEXT = 1_000;

export const changeSchema = z.discriminatedUnion("action", [
  z.strictObject({ action: z.literal("put"), declaration: declarationSchema }),
  z.strictObject({
    action: z.literal("remove"),
    kind: z.enum(["service", "job", "worker", "policy", "quota"]),
    name: nameSchema,
  }),
]);
export type Change = z.infer<typeof changeSchema>;

/** An operator's changes, accepted or rejected as a whole. */
const applySchema = z.strictObject({
  type: z.literal("apply"),
  operator: z.string().max(MAX_TEXT),
  /** The configuration version on which the operator based the changes. */
  base: countSchema<Sequence>(),
  changes: z.array(changeSchema).min(1).max(MAX_CHANGES),
});

const submitSchema = z.strictObject({
  type: z.literal("submit"),
  job: jobSchema,
});

const cancelSchema = z.strictObject({
  type: z.literal("cancel"),
  unit: idSchema<UnitId>(),
});

/** Claims one attempt of a unit for a host, under a reservation on that host. */
const claimSchema = z.strictObject({
  type: z.literal("claim"),
  unit: idSchema<UnitId>(),
  attempt: z.number().int().min(1),
  host: idSchema<HostId>(),
  generation: countSchema<HostGeneration>(),
  reservation: idSchema<ReservationId>(),
});

/** The side that ran the attempt reports that it no longer runs. */
const endedSchema = z.strictObject({
  type: z.literal("ended"),
  unit: idSchema<UnitId>(),
  attempt: z.number().int().min(1),
  host: idSchema<HostId>(),
  end: endKindSchema,
  detail: z.string().max(MAX_TEXT).optional(),
  checkpoint: z.string().max(MAX_TEXT).optional(),
});

/** The host has ended: nothing runs on it any more, up to this generation. */
const hostEndedSchema = z.strictObject({
  type: z.literal("hostEnded"),
  host: idSchema<HostId>(),
  generation: countSchema<HostGeneration>(),
  certifiedBy: z.enum(["hostList", "operator"]),
});

/**
 * The host is draining, up to this generation: it accepts no new work, and its
 * running work is moved to other hosts.
 */
const hostDrainingSchema = z.strictObject({
  type: z.literal("hostDraining"),
  host: idSchema<HostId>(),
  generation: countSchema<HostGeneration>(),
});

/** Claims the idempotency key of a request; written before the request is sent. */
const requestClaimSchema = z.strictObject({
  type: z.literal("requestClaim"),
  service: idSchema<ServiceName>(),
  key: z.string().min(1).max(MAX_TEXT),
  /** Digest of method, path and body; detects the reuse of the key for another request. */
  digest: z.string().max(100),
  request: idSchema<RequestId>(),
});

/** The complete response to a claimed request. */
const requestOutcomeSchema = z.strictObject({
  type: z.literal("requestOutcome"),
  service: idSchema<ServiceName>(),
  key: z.string().min(1).max(MAX_TEXT),
  request: idSchema<RequestId>(),
  status: z.number().int().min(100).max(599),
  contentType: z.string().max(MAX_TEXT).optional(),
  /** Absent when the response was too large to record. */
  body: z.custom<Uint8Array>((value) => value instanceof Uint8Array).optional(),
});

/** Releases the key of a claimed request that is confirmed not to have run. */
const requestReleaseSchema = z.strictObject({
  type: z.literal("requestRelease"),
  service: idSchema<ServiceName>(),
  key: z.string().min(1).max(MAX_TEXT),
  request: idSchema<RequestId>(),
});

export const recordSchema = z.discriminatedUnion("type", [
  applySchema,
  submitSchema,
  cancelSchema,
  claimSchema,
  endedSchema,
  hostEndedSchema,
  hostDrainingSchema,
  requestClaimSchema,
  requestOutcomeSchema,
  requestReleaseSchema,
]);
export type LogRecord = z.infer<typeof recordSchema>;
export type RecordOf<T extends LogRecord["type"]> = Extract<
  LogRecord,
  { type: T }
>;

/** Result of applying a record to the fold. */
export type ApplyResult =
  | { readonly accepted: true; readonly sequence: Sequence }
  | {
      readonly accepted: false;
      readonly sequence: Sequence;
      readonly reason: RejectReason;
      readonly detail: string;
    };

export type RejectReason =
  | "conflict"
  | "exists"
  | "unknown-unit"
  | "not-open"
  | "not-current"
  | "host-ended"
  | "host-leaving"
  | "quota"
  | "key-claimed"
  | "key-reused"
  | "repeated";
