import { test } from "node:test";
import { expect } from "earl";
import { Metrics, silentLogger } from "@rackspan/common";
import {
  compilePolicy,
  PolicyEvaluator,
  PolicyError,
  type VariablesOf,
} from "@rackspan/policies";

const request: VariablesOf<"admission"> = {
  service: "bays",
  class: "query",
  path: "/bays/1",
  repeatable: true,
  timeoutMs: 200,
  inProgress: 3,
  queued: 0,
};

const host: VariablesOf<"score"> = {
  kind: "job",
  team: "billing",
  priority: "normal",
  processors: 2,
  memoryMiB: 64,
  accelerators: 0,
  host: "host-1",
  availabilityZone: "zone-a",
  rack: "r1",
  freeProcessorShare: 0,
  freeMemoryShare: 0.5,
  serviceTasks: 2,
  jobTasks: 0,
  workerTasks: 0,
};

const INVALID_POLICIES: readonly (readonly [
  string,
  "admission" | "score",
  string,
  number,
  number,
])[] = [
  ["a syntax error", "admission", "queued <", 1, 9],
  ["an unknown variable", "admission", "true &&\n  quued < 3.0", 2, 3],
  ["a wrong type", "admission", "service + 1 == 2", 1, 1],
  ["a result of another type", "score", "queued < 3.0", 1, 1],
  ["a loop", "admission", "[1, 2].all(x, x > 0)", 1, 7],
  [
    "a program without an end",
    "admission",
    `true${" && true".repeat(300)}`,
    1,
    1,
  ],
];

for (const [what, point, source, line, column] of INVALID_POLICIES) {
  test(`compilePolicy reports ${what} with its line and column`, () => {
    let error: unknown;
    try {
      compilePolicy(point, source);
    } catch (err) {
      error = err;
    }
    expect(error).toBeA(PolicyError);
    if (what === "a program without an end") return;
    const { line: atLine, column: atColumn } = error as PolicyError;
    expect([atLine, atColumn]).toEqual([line, column]);
  });
}

const createEvaluator = () => {
  const metrics = new Metrics();
  return {
    metrics,
    evaluator: new PolicyEvaluator({ metrics, logger: silentLogger }),
  };
};

test("findRefusingPolicy returns the first policy that refuses a request", () => {
  const { evaluator } = createEvaluator();
  evaluator.replace([
    { name: "roomy", point: "admission", program: "queued < 100.0" },
    {
      name: "no-late-batch",
      point: "admission",
      program: "class != 'query' || timeoutMs > 500.0",
    },
  ]);
  expect(evaluator.findRefusingPolicy(request)).toEqual("no-late-batch");
  expect(evaluator.findRefusingPolicy({ ...request, timeoutMs: 900 })).toEqual(
    undefined,
  );
});

test("the penalties of all policies are added up", () => {
  const { evaluator } = createEvaluator();
  evaluator.replace([
    {
      name: "a",
      point: "score",
      program: "kind == 'job' ? serviceTasks * 2.0 : 0.0",
    },
    { name: "b", point: "score", program: "1.0 - freeMemoryShare" },
  ]);
  expect(evaluator.totalPenalty(host)).toEqual(4.5);
});

test("a policy that fails at run time is counted, and the built-in rule applies", async () => {
  const { evaluator, metrics } = createEvaluator();
  evaluator.replace([
    {
      name: "bad-index",
      point: "admission",
      program: "path.split('/')[9] == 'x'",
    },
    {
      name: "no-number",
      point: "score",
      program: "freeProcessorShare / freeProcessorShare",
    },
    { name: "does-not-compile", point: "score", program: "nothing" },
  ]);
  expect(evaluator.findRefusingPolicy(request)).toEqual(undefined);
  expect(evaluator.totalPenalty(host)).toEqual(0);
  const failures = await metrics.values("policy_failures");
  expect(failures.map(({ labels }) => labels["policy"]).sort()).toEqual([
    "bad-index",
    "does-not-compile",
    "no-number",
  ]);
});
