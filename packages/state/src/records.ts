/**
 * Records that our processes keep on the log. All of them go through the same
 * fold in the same order at every process, so what a record does may depend on
 * earlier records only.
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

/** Raised when a record changes in a way that older processes cannot read. */
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

/** An operator's changes, accepted together or not at all. */
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

/** One attempt of a unit is to run on this host, under this reservation. */
const claimSchema = z.strictObject({
  type: z.literal("claim"),
  unit: idSchema<UnitId>(),
  attempt: z.number().int().min(1),
  host: idSchema<HostId>(),
  generation: countSchema<HostGeneration>(),
  reservation: idSchema<ReservationId>(),
});

/** The side that held the attempt says that it does not run any more. */
const endedSchema = z.strictObject({
  type: z.literal("ended"),
  unit: idSchema<UnitId>(),
  attempt: z.number().int().min(1),
  host: idSchema<HostId>(),
  end: endKindSchema,
  detail: z.string().max(MAX_TEXT).optional(),
  checkpoint: z.string().max(MAX_TEXT).optional(),
});

/** Nothing runs any more on this host up to this generation. */
const hostEndedSchema = z.strictObject({
  type: z.literal("hostEnded"),
  host: idSchema<HostId>(),
  generation: countSchema<HostGeneration>(),
  certifiedBy: z.enum(["hostList", "operator"]),
});

/** The host is to take no new work up to this generation, and to give up what it has. */
const hostDrainingSchema = z.strictObject({
  type: z.literal("hostDraining"),
  host: idSchema<HostId>(),
  generation: countSchema<HostGeneration>(),
});

/** A request that may run once only is about to be sent. */
const requestClaimSchema = z.strictObject({
  type: z.literal("requestClaim"),
  service: idSchema<ServiceName>(),
  key: z.string().min(1).max(MAX_TEXT),
  /** Digest of method, path and body: the key stands for this request only. */
  digest: z.string().max(100),
  request: idSchema<RequestId>(),
});

/** The whole answer to a claimed request. */
const requestOutcomeSchema = z.strictObject({
  type: z.literal("requestOutcome"),
  service: idSchema<ServiceName>(),
  key: z.string().min(1).max(MAX_TEXT),
  request: idSchema<RequestId>(),
  status: z.number().int().min(100).max(599),
  contentType: z.string().max(MAX_TEXT).optional(),
  /** Left out when the answer was too large to keep. */
  body: z.custom<Uint8Array>((value) => value instanceof Uint8Array).optional(),
});

/** A claimed request was confirmed as never run; the key is free again. */
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

/** The fold's verdict on a record. */
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
