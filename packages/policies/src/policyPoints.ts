/**
 * The points at which policies are evaluated, with the variables and the result type of
 * each.
 */

export type VariableType = "string" | "bool" | "int" | "double";
export type ResultType = "bool" | "double";

export interface PolicyPoint {
  readonly variables: Readonly<Record<string, VariableType>>;
  readonly result: ResultType;
  /** Result of the built-in rule, used where no policy returns one. */
  readonly fallback: boolean | number;
}

export const POLICY_POINTS = {
  /** Whether a request is admitted; false refuses it as not run. */
  admission: {
    variables: {
      service: "string",
      class: "string",
      path: "string",
      repeatable: "bool",
      /** Time that is left for the request, milliseconds. */
      timeoutMs: "double",
      /** Requests of the same class that are in progress and queued at this entry. */
      inProgress: "double",
      queued: "double",
    },
    result: "bool",
    fallback: true,
  },
  /**
   * Added to the penalty of placing a unit on a host; the host with the lowest total is
   * chosen.
   */
  score: {
    variables: {
      kind: "string",
      team: "string",
      priority: "string",
      processors: "double",
      memoryMiB: "double",
      accelerators: "double",
      host: "string",
      availabilityZone: "string",
      rack: "string",
      /** Free share of the host's processors, in [0, 1]. */
      freeProcessorShare: "double",
      freeMemoryShare: "double",
      /** Number of tasks on the host now, by kind. */
      serviceTasks: "double",
      jobTasks: "double",
      workerTasks: "double",
    },
    result: "double",
    fallback: 0,
  },
} as const satisfies Record<string, PolicyPoint>;

export type PolicyPointName = keyof typeof POLICY_POINTS;

type TypeOf<V extends VariableType> = V extends "string"
  ? string
  : V extends "bool"
    ? boolean
    : number;

export type VariablesOf<P extends PolicyPointName> = {
  readonly [
    K in keyof (typeof POLICY_POINTS)[P]["variables"]
  ]: (typeof POLICY_POINTS)[P]["variables"][K] extends VariableType
    ? TypeOf<(typeof POLICY_POINTS)[P]["variables"][K]>
    : never;
};

export type ResultOf<P extends PolicyPointName> =
  (typeof POLICY_POINTS)[P]["result"] extends "bool" ? boolean : number;
