/** Late answers and overdue scheduling cycles do not start a task twice within milliseconds. */

import { test } from "node:test";
import { expect } from "earl";
import type { JobTaskId } from "@rackspan/common";
import { EngineHarness, taskId, type FakeHost } from "./engineHarness.js";

/** Longer than a scheduling cycle may be overdue. */
const STALL_MS = 600;
const TASK_COUNT = 5;
/** Attempts allowed by the harness's queue. */
const MAX_ATTEMPTS = 2;
const TASK = taskId("j.0.0.0");

interface Site {
  readonly harness: EngineHarness;
  /** Has not answered any order yet. */
  readonly lost: FakeHost;
  readonly others: readonly FakeHost[];
}

const orderFromSilentHost = async (taskCount: number): Promise<Site> => {
  const harness = new EngineHarness();
  const lost = await harness.addHost("h1");
  lost.answers = "held";
  harness.submit("j", [{ taskCount }]);
  await harness.clock.advance(50);
  const others = [await harness.addHost("h2"), await harness.addHost("h3")];
  return { harness, lost, others };
};

const startedTasks = (hosts: readonly FakeHost[]): readonly JobTaskId[] =>
  hosts
    .flatMap(({ starts }) => starts)
    .sort((a, b) => a.run - b.run)
    .map(({ task }) => task);

const startCount = (hosts: readonly FakeHost[]): number =>
  startedTasks(hosts).length;

test("a stalled leader starts the tasks of a lost worker only once", async () => {
  const { harness, lost, others } = await orderFromSilentHost(TASK_COUNT);
  const [next] = others;
  if (!next) throw new Error("no other host");
  harness.engine.handleWorkerGone(lost.host, lost.instance);
  harness.clock.freeze(STALL_MS);
  harness.reportOf(next);
  expect(startCount(others)).toEqual(TASK_COUNT);
  lost.answerHeld({ kind: "replaced" });
  // Runs only the timers that are already overdue; the clock does not advance.
  await harness.clock.advance(0);
  const tasks = startedTasks(others);
  expect(tasks).toEqual([...new Set(tasks)]);
  await harness.run(1_000, others);
  expect(startCount(others)).toEqual(TASK_COUNT);
});

test("the tasks of a worker lost while a scheduling cycle is overdue are started only once", async () => {
  const { harness, lost, others } = await orderFromSilentHost(TASK_COUNT);
  harness.engine.handleOperatorChange();
  harness.clock.freeze(STALL_MS);
  harness.engine.handleWorkerGone(lost.host, lost.instance);
  lost.answerHeld({ kind: "replaced" });
  await harness.run(1_000, others);
  expect(startCount(others)).toEqual(TASK_COUNT);
});

/** Fails all runs of the task and returns their number. */
const failAllRuns = (hosts: readonly FakeHost[]): number => {
  let failures = 0;
  for (const host of hosts) {
    for (; host.isRunning(TASK); failures += 1) host.end(TASK, "failed");
  }
  return failures;
};

test("a task that always fails is not started more often than its attempts allow after its worker was lost", async () => {
  for (const lastFirst of [false, true]) {
    const { harness, lost, others } = await orderFromSilentHost(1);
    harness.engine.handleWorkerGone(lost.host, lost.instance);
    await harness.run(50, others);
    lost.answerHeld({ kind: "replaced" });
    await harness.run(50, others);
    const reporting = [...others].sort((a, b) =>
      lastFirst ? latestRun(b) - latestRun(a) : latestRun(a) - latestRun(b),
    );
    for (let failures = 0; failures < MAX_ATTEMPTS;) {
      failures += failAllRuns(others);
      const before = startCount(others);
      for (const host of reporting) {
        harness.reportOf(host);
        await harness.clock.advance(20);
      }
      if (failures >= MAX_ATTEMPTS) {
        expect(startCount(others)).toEqual(before);
      }
    }
  }
});

const latestRun = ({ starts }: FakeHost): number => starts.at(-1)?.run ?? 0;
