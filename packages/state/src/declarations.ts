/** Schemas of the declarations that operators keep in version control. */

import { z } from "zod";
import {
  idSchema,
  resourcesSchema,
  type ServiceName,
  type TeamName,
} from "@rackspan/common";
import { programSchema } from "@rackspan/protocol";

const MAX_REPLICAS = 10_000;
const MAX_TIMEOUT_MS = 3_600_000;
const MAX_BODY_BYTES = 64 * 1024 * 1024;
const MAX_POLICY_CHARS = 4_000;
const NAME_PATTERN = /^[a-z0-9]([a-z0-9._-]{0,98}[a-z0-9])?$/;

/** Names are used in paths, unit ids and metric labels. */
export const nameSchema = z
  .string()
  .regex(NAME_PATTERN, "a name has 1 to 100 of a-z, 0-9, '.', '_' and '-'");

const teamSchema = idSchema<TeamName>().default("default" as TeamName);

export const prioritySchema = z.enum(["urgent", "normal", "low"]);
export type Priority = z.infer<typeof prioritySchema>;

/** Classes of requests; see docs/INTERFACE.md. */
export const requestClassSchema = z.enum(["check", "query", "batch", "watch"]);
export type RequestClass = z.infer<typeof requestClassSchema>;

export const routeSchema = z.strictObject({
  /** Requests whose path starts with this go to the service; the longest prefix wins. */
  prefix: z.string().regex(/^\/[\w./-]*$/, "a prefix starts with '/'"),
  class: requestClassSchema,
  /** Whether a request may safely be run twice. */
  repeatable: z.boolean(),
  /** Time-out of a request whose caller sets none, milliseconds. */
  timeoutMs: z.number().int().min(1).max(MAX_TIMEOUT_MS).default(10_000),
  maxBodyBytes: z.number().int().min(0).max(MAX_BODY_BYTES).default(1_048_576),
});
export type Route = z.infer<typeof routeSchema>;

const placedSchema = {
  team: teamSchema,
  resources: resourcesSchema,
  program: programSchema,
};

export const serviceSchema = z.strictObject({
  kind: z.literal("service"),
  name: nameSchema.transform((name) => name as ServiceName),
  ...placedSchema,
  replicas: z.number().int().min(0).max(MAX_REPLICAS),
  /** Latency that 99% of the requests should stay under, milliseconds. */
  targetMs: z.number().min(0).optional(),
  routes: z.array(routeSchema).min(1).max(100),
});
export type ServiceDeclaration = z.infer<typeof serviceSchema>;

export const jobSchema = z.strictObject({
  kind: z.literal("job"),
  name: nameSchema,
  ...placedSchema,
  priority: prioritySchema.default("normal"),
  /** Number of failures after which the job fails permanently. */
  maxFailures: z.number().int().min(1).max(100).default(3),
});
export type JobDeclaration = z.infer<typeof jobSchema>;

export const standingWorkerSchema = z.strictObject({
  kind: z.literal("worker"),
  name: nameSchema,
  ...placedSchema,
  replicas: z.number().int().min(0).max(MAX_REPLICAS),
});
export type StandingWorkerDeclaration = z.infer<typeof standingWorkerSchema>;

export const policySchema = z.strictObject({
  kind: z.literal("policy"),
  name: nameSchema,
  /**
   * Where the policy program is evaluated; docs/INTERFACE.md lists
   * the variables of each point.
   */
  point: z.enum(["admission", "score"]),
  /** A CEL expression. */
  program: z.string().min(1).max(MAX_POLICY_CHARS),
});
export type PolicyDeclaration = z.infer<typeof policySchema>;

export const quotaSchema = z.strictObject({
  kind: z.literal("quota"),
  /** The team that is limited. */
  name: nameSchema,
  /** Total resources that the running tasks of the team may use. */
  resources: resourcesSchema,
  /** Maximum number of jobs of the team that are waiting or running. */
  maxJobs: z.number().int().min(0).max(1_000_000),
});
export type QuotaDeclaration = z.infer<typeof quotaSchema>;

export const declarationSchema = z.discriminatedUnion("kind", [
  serviceSchema,
  jobSchema,
  standingWorkerSchema,
  policySchema,
  quotaSchema,
]);
export type Declaration = z.infer<typeof declarationSchema>;
export type DeclarationKind = Declaration["kind"];

/** Unique key of a declaration. */
export const declarationKey = ({ kind, name }: DeclarationName): string =>
  `${kind}/${name}`;

export interface DeclarationName {
  readonly kind: DeclarationKind;
  readonly name: string;
}
