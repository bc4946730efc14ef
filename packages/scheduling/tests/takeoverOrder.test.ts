/** In which order, and how many at once, tasks start that waited for a takeover. */

import { test } from "node:test";
import { expect } from "earl";
import { DEFAULT_POLICY } from "@rackspan/scheduling";
import { plainJob } from "@rackspan/standins";
import type { StepSpec } from "@rackspan/state";
import { EngineHarness, taskId } from "./engineHarness.js";

/** Longer than a scheduling cycle and the append of its starts. */
const SOON_MS = 60;
/** See MAX_OPEN_ORDERS. */
const MAX_OPEN = 8;
const policy = { ...DEFAULT_POLICY, recordsPlacements: true };
const small = { milliCores: 100, memoryMiB: 10, accelerators: 0 };

// A side that gets all orders at once answers the last ones after their timeout.
test("a host gets no further orders while it has not answered the ones before", async () => {
  const harness = new EngineHarness({ policy });
  const host = await harness.addHost("h1");
  host.answers = "held";
  harness.submit("j", [{ taskCount: 3 * MAX_OPEN, demand: small }]);
  await harness.clock.advance(SOON_MS);
  expect(host.starts.length).toEqual(MAX_OPEN);
  host.answerHeld({ kind: "ok", at: host.at });
  await harness.clock.advance(SOON_MS);
  expect(host.starts.length).toEqual(2 * MAX_OPEN);
});

test("without the flag a host gets all orders at once", async () => {
  const harness = new EngineHarness();
  const host = await harness.addHost("h1");
  host.answers = "held";
  harness.submit("j", [{ taskCount: 3 * MAX_OPEN, demand: small }]);
  await harness.clock.advance(SOON_MS);
  expect(host.starts.length).toEqual(3 * MAX_OPEN);
});

/** Tasks in the order in which a new leader starts them on its only host. */
const startedInOrder = async (
  recordsPlacements: boolean,
): Promise<readonly string[]> => {
  const harness = new EngineHarness({ policy: { recordsPlacements } });
  const add = (id: string, priority: number, step: Partial<StepSpec>): void => {
    const steps = [{ demand: small, ...step }];
    const terms = { priority };
    const job = plainJob({ id, steps, terms, acceptedAt: harness.clock.now() });
    harness.engine.addJob(job, undefined);
  };
  add("bulk", 2, {});
  add("lasting", 2, { lasting: true });
  add("urgent", 0, {});
  const host = await harness.addHost("h1");
  await harness.clock.advance(SOON_MS);
  return host.starts.map(({ task }) => String(task).split(".")[0] as string);
};

// Users of lasting tasks have been without them since the previous leader ended.
test("lasting tasks start first after a takeover, then urgent ones", async () => {
  expect(await startedInOrder(true)).toEqual(["lasting", "urgent", "bulk"]);
  expect(await startedInOrder(false)).toEqual(["urgent", "lasting", "bulk"]);
});

/** The task that follows the first one of a large job on the only host. */
const startedSecond = async (recordsPlacements: boolean): Promise<string> => {
  const harness = new EngineHarness({ policy: { recordsPlacements } });
  const demand = { milliCores: 32_000, memoryMiB: 10, accelerators: 0 };
  const submit = (id: string, taskCount: number, estimateMs: number): void => {
    harness.submit(id, [{ taskCount, demand, estimateMs }]);
  };
  submit("large", 3, 9_000);
  const host = await harness.addHost("h1");
  // It earns more per core-millisecond than the rest of the large job.
  submit("small", 1, 100);
  await harness.run(SOON_MS);
  host.end(taskId("large.0.0.0"), "done");
  await harness.run(SOON_MS);
  return String(host.runningTasks[0]);
};

test("the rest of a started step starts before new steps after a takeover", async () => {
  expect(await startedSecond(true)).toEqual("large.0.0.1");
  expect(await startedSecond(false)).toEqual("small.0.0.0");
});

// After 2 s, a step without a host empties hosts and uses ejected ones.
test("a lasting step that waits only for answers to other orders is not without a host", async () => {
  const harness = new EngineHarness({ policy });
  const host = await harness.addHost("h1");
  host.answers = "held";
  const job = harness.submit("j", [
    { taskCount: MAX_OPEN + 1, demand: small, lasting: true },
  ]);
  await harness.run(SOON_MS);
  expect(host.starts.length).toEqual(MAX_OPEN);
  const tracked = harness.engine["jobs"].get(job.spec.id);
  expect(tracked?.job.steps[0]?.unplacedSince).toEqual(undefined);
  const large = { ...small, milliCores: 64_000 };
  const unplaceable = harness.submit("k", [{ demand: large, lasting: true }]);
  await harness.run(SOON_MS);
  const other = harness.engine["jobs"].get(unplaceable.spec.id);
  expect(other?.job.steps[0]?.unplacedSince).not.toEqual(undefined);
});
