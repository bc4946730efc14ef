/** A late answer to the start order of a lost run does not start its task a second time. */

import { test } from "node:test";
import { expect } from "earl";
import type { JobTaskId } from "@rackspan/common";
import type { HostCallResult } from "@rackspan/protocol";
import { EngineHarness, taskId, type FakeHost } from "./engineHarness.js";
import { harnessWithLog } from "./harnessWithLog.js";

const TASK = taskId("j.0.0.0");

interface Site {
  readonly harness: EngineHarness;
  readonly lost: FakeHost;
  /** The host on which the task runs after its first run was lost. */
  readonly next: FakeHost;
  /** A host that gets no task unless the task is started a second time. */
  readonly spare: FakeHost;
  /** Log lines of the leader. */
  readonly lines: readonly string[];
}

/** A task is ordered from a worker that is lost, and starts elsewhere before the answer arrives. */
const loseUnansweredStart = async (): Promise<Site> => {
  const { harness, lines } = harnessWithLog();
  const lost = await harness.addHost("h1");
  lost.answers = "held";
  harness.submit("j", [{}]);
  await harness.clock.advance(50);
  const next = await harness.addHost("h2");
  harness.engine.handleWorkerGone(lost.host, lost.instance);
  await harness.run(100, [next]);
  expect(next.isRunning(TASK)).toEqual(true);
  next.draining = true;
  const spare = await harness.addHost("h3");
  return { harness, lost, next, spare, lines };
};

const startsOf = (hosts: readonly FakeHost[], task: JobTaskId): number =>
  hosts.flatMap(({ starts }) => starts.filter((call) => call.task === task))
    .length;

/** Answers that rule out that the run ever starts. */
const NEVER_STARTS: readonly HostCallResult[] = [
  { kind: "replaced" },
  { kind: "draining" },
  { kind: "refused", reason: "no-room" },
];

test("an answer that arrives after its run was lost does not affect the next run", async () => {
  for (const answer of NEVER_STARTS) {
    const { harness, lost, next, spare } = await loseUnansweredStart();
    lost.answerHeld(answer);
    await harness.run(1_000, [next, spare]);
    expect(startsOf([lost, next, spare], TASK)).toEqual(2);
    expect(next.isRunning(TASK)).toEqual(true);
    expect(spare.isRunning(TASK)).toEqual(false);
  }
});

test("a cancel stops every run of a job whose lost run was answered late", async () => {
  const { harness, lost, next, spare } = await loseUnansweredStart();
  lost.answerHeld({ kind: "replaced" });
  await harness.run(300, [next, spare]);
  harness.engine.cancelJob("j" as never);
  await harness.run(500, [next, spare]);
  expect(next.runningTasks).toEqual([]);
  expect(spare.runningTasks).toEqual([]);
});

test("only the current run of a task is returned", async () => {
  const { harness, lost, next, spare, lines } = await loseUnansweredStart();
  lost.answerHeld({ kind: "replaced" });
  await harness.run(300, [next, spare]);
  const returned = lines.filter((line) => line.includes("task.given-back"));
  expect(returned.length).toEqual(1);
  for (const line of returned) {
    const run = / run=(\d+)/.exec(line)?.[1];
    expect(/ currentRun=(\d+)/.exec(line)?.[1]).toEqual(run);
  }
});

/** Duration of each run. */
const RUN_MS = 800;

/** Ends the runs whose duration is over: those in `failing` as failed, the others as done. */
const endDue = (
  hosts: readonly FakeHost[],
  startTimes: Map<number, number>,
  now: number,
  failing: Set<number>,
): void => {
  for (const host of hosts) {
    for (const { task, run } of host.runs) {
      const startedAt = startTimes.get(run) ?? now;
      startTimes.set(run, startedAt);
      if (now - startedAt < RUN_MS) continue;
      host.end(task, failing.delete(run) ? "failed" : "done", run);
    }
  }
};

test("a task whose lost run is answered late gets no second sequence of runs after a failure", async () => {
  const harness = new EngineHarness();
  const lost = await harness.addHost("h1");
  lost.answers = "held";
  harness.submit("j", [{}]);
  await harness.clock.advance(50);
  const others = [await harness.addHost("h2"), await harness.addHost("h3")];
  harness.engine.handleWorkerGone(lost.host, lost.instance);
  await harness.clock.advance(10);
  lost.answerHeld({ kind: "replaced" });
  await harness.clock.advance(10);
  const startTimes = new Map<number, number>();
  const failing = new Set([latestRunOf(others)]);
  for (let step = 0; step < 80; step += 1) {
    endDue(others, startTimes, harness.clock.monotonic(), failing);
    await harness.run(50, others);
  }
  // The run that fails and the one that is done.
  expect(startsOf(others, TASK)).toEqual(2);
});

const latestRunOf = (hosts: readonly FakeHost[]): number =>
  Math.max(...hosts.flatMap(({ starts }) => starts.map(({ run }) => run)));
