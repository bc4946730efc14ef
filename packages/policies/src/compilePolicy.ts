/** Compiles a policy, which is a CEL expression, and checks its types and size. */

import { Environment, type ParseResult } from "@marcbachmann/cel-js";
import { RackspanError } from "@rackspan/common";
import {
  POLICY_POINTS,
  type PolicyPoint,
  type PolicyPointName,
} from "./policyPoints.js";

/** Thrown for a policy that must not be published. */
export class PolicyError extends RackspanError {
  readonly kind = "bad-policy";
  constructor(
    what: string,
    /** Position of the error, counted from 1; also 1 if it is unknown. */
    readonly line: number,
    readonly column: number,
  ) {
    super({
      what: `line ${line}, column ${column}: ${what}`,
      remedy:
        "see docs/INTERFACE.md for the variables and the result of each point",
    });
  }
}

/** Together these limits bound the cost of one evaluation. */
const LIMITS = {
  maxAstNodes: 200,
  maxDepth: 24,
  maxListElements: 64,
  maxMapEntries: 16,
};

/**
 * Nested loops over lists could multiply the cost. No variable is a list, so policies
 * need no loops.
 */
const LOOP_PATTERN =
  /\.\s*(all|exists|exists_one|map|filter|transformList|transformMap)\s*\(/;

const environments = new Map<PolicyPointName, Environment>();

const environmentOf = (name: PolicyPointName): Environment => {
  let environment = environments.get(name);
  if (!environment) {
    environment = new Environment({ limits: LIMITS });
    const point: PolicyPoint = POLICY_POINTS[name];
    for (const [variable, type] of Object.entries(point.variables)) {
      environment.registerVariable(variable, type);
    }
    environments.set(name, environment);
  }
  return environment;
};

interface LocatedError {
  readonly summary?: string;
  readonly message: string;
  readonly range?: { readonly start?: number };
}

const toPolicyError = (source: string, err: LocatedError): PolicyError => {
  const before = source.slice(0, err.range?.start ?? 0).split("\n");
  const column = (before.at(-1)?.length ?? 0) + 1;
  return new PolicyError(err.summary ?? err.message, before.length, column);
};

/** @throws PolicyError with the line and column of the error */
export const compilePolicy = (
  point: PolicyPointName,
  source: string,
): ParseResult => {
  const loop = LOOP_PATTERN.exec(source);
  if (loop) {
    const range = { start: loop.index };
    throw toPolicyError(source, {
      message: "loops are not allowed in policies",
      range,
    });
  }
  let program: ParseResult;
  try {
    program = environmentOf(point).parse(source);
  } catch (err) {
    throw toPolicyError(source, err as LocatedError);
  }
  const checked = program.check();
  if (!checked.valid) {
    throw toPolicyError(
      source,
      (checked.error ?? new Error("not valid")) as LocatedError,
    );
  }
  const { result } = POLICY_POINTS[point];
  if (checked.type !== result) {
    const message = `the result is ${checked.type}, ${point} needs ${result}`;
    throw toPolicyError(source, { message });
  }
  return program;
};
