/** Which waiting steps show that a service has too little capacity. */

import { test } from "node:test";
import { expect } from "earl";
import { brand, type HostId, type RunNumber } from "@rackspan/common";
import { avoidHost, JobRun, type JobTask, type StepRun } from "@rackspan/jobs";
import { lacksCapacity, type LargestCapacity } from "@rackspan/scheduling";
import { plainJob } from "@rackspan/standins";
import type { StepSpec } from "@rackspan/state";

const NOW = 10_000;
const CAPACITY: LargestCapacity = {
  free: { milliCores: 500, memoryMiB: 1_000, accelerators: 0 },
  hostMilliCores: 32_000,
};

const stepOf = (
  spec: Partial<StepSpec>,
  change: (step: StepRun, next: JobTask) => void = () => undefined,
): StepRun => {
  const job = new JobRun(plainJob({ id: "0", acceptedAt: 0, steps: [spec] }));
  const [step] = job.steps;
  const [next] = step?.waiting ?? [];
  if (!step || !next) throw new Error("the job has no step");
  step.unplacedSince = 0;
  change(step, next);
  return step;
};

const demandOf = (milliCores: number, memoryMiB = 10, accelerators = 0) => ({
  demand: { milliCores, memoryMiB, accelerators },
});
const DEMAND = demandOf(1_000);

// Guards against refusing jobs because one step waits for something that others do not need.
test("only steps that wait for processor time lack capacity", () => {
  const cases: Readonly<Record<string, readonly [StepRun, boolean]>> = {
    "no host has the cores": [stepOf(DEMAND), true],
    "filling, disturbs serving tasks": [
      stepOf({ ...demandOf(400), filling: true }),
      true,
    ],
    "a host has the cores": [stepOf(demandOf(500)), false],
    "no host has the memory": [stepOf(demandOf(1_000, 1_001)), false],
    "filling, no host has the memory": [
      stepOf({ ...demandOf(1_000, 1_001), filling: true }),
      false,
    ],
    "no host has accelerators": [stepOf(demandOf(1_000, 10, 1)), false],
    "larger than any host": [stepOf(demandOf(32_001)), false],
    "filling, larger than any host": [
      stepOf({ ...demandOf(32_001), filling: true }),
      false,
    ],
    "refused ticket": [
      stepOf(DEMAND, (step) => (step.notBefore = NOW + 1)),
      false,
    ],
    "next task is not to start yet": [
      stepOf(DEMAND, (_, next) => (next.notBefore = NOW + 1)),
      false,
    ],
    "next task avoids a host": [
      stepOf(DEMAND, (_, next) => avoidHost(next, brand<HostId>("h1"))),
      false,
    ],
    "next task is suspect": [
      stepOf(DEMAND, (_, next) => (next.writeAheadRun = 1 as RunNumber)),
      false,
    ],
    "not tried yet": [
      stepOf(DEMAND, (step) => (step.unplacedSince = undefined)),
      false,
    ],
  };
  for (const [name, [step, expected]] of Object.entries(cases))
    expect([name, lacksCapacity(step, CAPACITY, NOW)]).toEqual([
      name,
      expected,
    ]);
});
