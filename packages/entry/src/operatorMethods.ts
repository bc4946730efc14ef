/** RPC methods at an entry's control address, for operators and other entries. */

import { z } from "zod";
import {
  countSchema,
  idSchema,
  type HostId,
  type Sequence,
  type UnitId,
} from "@rackspan/common";
import { resourcesSchema } from "@rackspan/common";
import { changeSchema, declarationSchema, jobSchema } from "@rackspan/state";

const operationResultSchema = z.object({
  accepted: z.boolean(),
  sequence: z.number(),
  reason: z.string().optional(),
  detail: z.string().optional(),
});
export type OperationResult = z.infer<typeof operationResultSchema>;

const unitSummarySchema = z.object({
  unit: z.string(),
  phase: z.enum(["open", "claimed", "finished"]),
  attempt: z.number(),
  failures: z.number(),
  host: z.string().optional(),
  finish: z.enum(["succeeded", "failed", "cancelled"]).optional(),
  lastEnd: z.string().optional(),
  lastDetail: z.string().optional(),
});
export type UnitSummary = z.infer<typeof unitSummarySchema>;

const hostSummarySchema = z.object({
  host: z.string(),
  availabilityZone: z.string(),
  rack: z.string(),
  ready: z.boolean(),
  leaving: z.boolean(),
  tasks: z.number(),
  capacity: resourcesSchema,
  free: resourcesSchema,
});

const entryStatusSchema = z.object({
  entry: z.string(),
  ready: z.boolean(),
  /** Version of the configuration that is in force at this entry. */
  configVersion: z.number(),
  logPosition: z.number(),
  logSilentMs: z.number(),
  appendsQueued: z.number(),
});

export const statusSchema = z.object({
  ...entryStatusSchema.shape,
  hosts: z.array(hostSummarySchema),
  units: z.object({
    open: z.number(),
    claimed: z.number(),
    finished: z.number(),
  }),
  /** The other entries in the host list; an entry that did not answer has no status. */
  peers: z.array(
    z.object({ host: z.string(), status: entryStatusSchema.optional() }),
  ),
  refusals: z.array(
    z.object({ reason: z.string(), outcome: z.string(), count: z.number() }),
  ),
});
export type OperatorStatus = z.infer<typeof statusSchema>;

export const OPERATOR_METHODS = {
  apply: {
    params: z.strictObject({
      operator: z.string().min(1).max(200),
      base: countSchema<Sequence>(),
      changes: z.array(changeSchema).min(1).max(10_000),
    }),
    result: operationResultSchema,
  },
  /** The configuration in force at this entry, and its version as the base for changes. */
  get: {
    params: z.strictObject({}),
    result: z.object({
      version: z.number(),
      declarations: z.array(declarationSchema),
    }),
  },
  submit: {
    params: z.strictObject({ job: jobSchema }),
    result: operationResultSchema,
  },
  cancel: {
    params: z.strictObject({ unit: idSchema<UnitId>() }),
    result: operationResultSchema,
  },
  units: {
    params: z.strictObject({
      prefix: z.string().max(200),
      limit: z.number().int().min(1).max(100_000),
    }),
    result: z.object({ units: z.array(unitSummarySchema) }),
  },
  entryStatus: { params: z.strictObject({}), result: entryStatusSchema },
  status: { params: z.strictObject({}), result: statusSchema },
  drain: {
    params: z.strictObject({ host: idSchema<HostId>() }),
    result: operationResultSchema,
  },
  /** Limits the processor share of a unit's running attempt; the next attempt is not limited. */
  throttle: {
    params: z.strictObject({
      unit: idSchema<UnitId>(),
      share: z.number().min(0.01).max(1),
    }),
    result: z.object({ host: z.string() }),
  },
  fence: {
    params: z.strictObject({ host: idSchema<HostId>() }),
    result: operationResultSchema,
  },
} as const;

export type OperatorMethods = typeof OPERATOR_METHODS;
