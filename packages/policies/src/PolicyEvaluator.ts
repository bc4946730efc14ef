/** Compiles and evaluates the policies that are in force in one process. */

import type { ParseResult } from "@marcbachmann/cel-js";
import { describeError, type Logger, type Metrics } from "@rackspan/common";
import { compilePolicy } from "./compilePolicy.js";
import {
  POLICY_POINTS,
  type PolicyPointName,
  type ResultOf,
  type VariablesOf,
} from "./policyPoints.js";

export interface PolicySource {
  readonly name: string;
  readonly point: PolicyPointName;
  readonly program: string;
}

interface CompiledPolicy {
  readonly name: string;
  readonly program: ParseResult;
}

export interface PolicyEvaluatorOptions {
  readonly metrics: Metrics;
  readonly logger: Logger;
}

export class PolicyEvaluator {
  private byPoint = new Map<PolicyPointName, readonly CompiledPolicy[]>();

  constructor(private readonly options: PolicyEvaluatorOptions) {}

  /** Replaces all policies. A policy that does not compile is skipped. */
  replace(sources: readonly PolicySource[]): void {
    const byPoint = new Map<PolicyPointName, CompiledPolicy[]>();
    for (const { name, point, program } of sources) {
      try {
        const compiled = { name, program: compilePolicy(point, program) };
        byPoint.set(point, [...(byPoint.get(point) ?? []), compiled]);
      } catch (err) {
        this.recordFailure(name, point, err);
      }
    }
    this.byPoint = byPoint;
  }

  has(point: PolicyPointName): boolean {
    return this.byPoint.has(point);
  }

  /** Returns the name of the first policy that refuses the request, if any. */
  findRefusingPolicy(variables: VariablesOf<"admission">): string | undefined {
    return (this.byPoint.get("admission") ?? []).find(
      (policy) => !this.evaluate("admission", policy, variables),
    )?.name;
  }

  /** Returns the sum of the penalties that the policies add. */
  totalPenalty(variables: VariablesOf<"score">): number {
    return (this.byPoint.get("score") ?? []).reduce(
      (sum, policy) => sum + this.evaluate("score", policy, variables),
      0,
    );
  }

  /**
   * Evaluates one policy. A policy that fails is counted, and the fallback of its point
   * is used instead.
   */
  private evaluate<P extends PolicyPointName>(
    point: P,
    { name, program }: CompiledPolicy,
    variables: VariablesOf<P>,
  ): ResultOf<P> {
    const { fallback, result } = POLICY_POINTS[point];
    try {
      const value = program(variables as Record<string, unknown>);
      const expected = result === "bool" ? "boolean" : "number";
      if (typeof value !== expected || Number.isNaN(value)) {
        throw new TypeError(`${String(value)} is not a ${result}`);
      }
      return value as ResultOf<P>;
    } catch (err) {
      this.recordFailure(name, point, err);
      return fallback as ResultOf<P>;
    }
  }

  private recordFailure(
    policy: string,
    point: PolicyPointName,
    err: unknown,
  ): void {
    this.options.metrics.count("policy_failures", { policy, point });
    this.options.logger.warn("policy.failed", {
      policy,
      point,
      error: describeError(err),
    });
  }
}
