/** What a side records about the runs of each incarnation of its worker, and reports once one ends. */

import { test } from "node:test";
import { expect } from "earl";
import {
  brand,
  ManualClock,
  silentLogger,
  type JobTaskId,
  type RunNumber,
  type WorkerInstance,
  type WorkerTime,
} from "@rackspan/common";
import type { PollResponse, RunRef } from "@rackspan/ports";
import type { LostRun } from "@rackspan/protocol";
import { WorkerRegistry } from "@rackspan/side";
import { createHeartbeat } from "./createHeartbeat.js";
import { pollResponseOf } from "./pollResponseOf.js";

const FIRST = brand<WorkerInstance>("w1");
const RUN: RunRef = {
  task: brand<JobTaskId>("j.0.0.0"),
  run: brand<RunNumber>(7),
};
const timeOf = (ms: number): WorkerTime => ms as unknown as WorkerTime;

const setUp = () => {
  const clock = new ManualClock();
  const registry = new WorkerRegistry(clock, silentLogger);
  registry.recordHeartbeat(createHeartbeat("w1"));
  registry.runs.recordOrdered(FIRST, RUN);
  const crash = (): void => {
    registry.recordHeartbeat(createHeartbeat("w2"));
    registry.confirmCurrent(brand<WorkerInstance>("w2"));
  };
  /** @returns `orderedMs` of each lost run */
  const crashAfterNextOrder = () => {
    registry.runs.recordOrdered(FIRST, { ...RUN, run: brand<RunNumber>(8) });
    crash();
    return registry.runs.unreportedLostRuns.map(({ orderedMs }) => orderedMs);
  };
  return { clock, registry, crash, crashAfterNextOrder };
};

test("a run that was ordered from an incarnation that crashed is reported", () => {
  const { registry, crash } = setUp();
  expect(registry.runs.unreportedLostRuns).toEqual([]);
  crash();
  expect(registry.runs.unreportedLostRuns).toEqual([
    { ...RUN, workedMs: undefined, wasAtWork: false },
  ]);
});

test("the report says for how long the worker had listed the run", () => {
  const { registry, crash } = setUp();
  registry.runs.recordStarted(FIRST, RUN, timeOf(1_000));
  registry.runs.recordListed(FIRST, pollResponseOf(1_400, [RUN]), 0);
  crash();
  expect(registry.runs.unreportedLostRuns).toEqual([
    { ...RUN, workedMs: 400, wasAtWork: false },
  ]);
});

test("a list that was in flight when the run started does not end it", () => {
  const { registry, crash } = setUp();
  registry.runs.recordStarted(FIRST, RUN, timeOf(1_000));
  registry.runs.recordListed(FIRST, pollResponseOf(990, []), 0);
  crash();
  expect(registry.runs.unreportedLostRuns.length).toEqual(1);
});

test("a run that has ended, was refused or has lapsed is not reported", async () => {
  const ended = setUp();
  ended.registry.runs.recordStarted(FIRST, RUN, timeOf(1_000));
  ended.registry.runs.recordListed(FIRST, pollResponseOf(1_500, []), 0);
  ended.crash();
  expect(ended.registry.runs.unreportedLostRuns).toEqual([]);
  const refused = setUp();
  refused.registry.runs.recordRefused(FIRST, RUN);
  refused.crash();
  expect(refused.registry.runs.unreportedLostRuns).toEqual([]);
  const lapsed = setUp();
  await lapsed.clock.advance(10_000);
  lapsed.registry.runs.recordListed(FIRST, pollResponseOf(10_000, []), 10_000);
  lapsed.crash();
  expect(lapsed.registry.runs.unreportedLostRuns).toEqual([]);
});

test("a run that is refused after its incarnation has ended is not reported", () => {
  const { registry, crash } = setUp();
  crash();
  registry.runs.recordRefused(FIRST, RUN);
  expect(registry.runs.unreportedLostRuns).toEqual([]);
});

test("the report says that a run was ordered after its worker had stopped answering", async () => {
  const { clock, registry, crash } = setUp();
  const listed: RunRef = { ...RUN, run: brand<RunNumber>(9) };
  registry.runs.recordOrdered(FIRST, listed);
  registry.runs.recordStarted(FIRST, listed, timeOf(1_000));
  registry.runs.recordSilent(FIRST);
  await clock.advance(40);
  registry.runs.recordSilent(FIRST);
  const late: RunRef = { ...RUN, run: brand<RunNumber>(8) };
  registry.runs.recordOrdered(FIRST, late);
  crash();
  expect(registry.runs.unreportedLostRuns).toEqual([
    { ...RUN, workedMs: undefined, wasAtWork: false },
    { ...listed, workedMs: 0, wasAtWork: false },
    { ...late, wasAtWork: false, orderedMs: -40 },
  ]);
});

test("a worker that answers a start is not silent for later orders", async () => {
  const { clock, registry, crashAfterNextOrder } = setUp();
  registry.runs.recordSilent(FIRST);
  await clock.advance(40);
  registry.runs.recordStarted(FIRST, RUN, timeOf(1_000));
  await clock.advance(40);
  expect(crashAfterNextOrder()).toEqual([undefined, undefined]);
});

test("a worker that answers polls again is not silent for later orders", async () => {
  const { clock, registry, crashAfterNextOrder } = setUp();
  registry.runs.recordSilent(FIRST);
  await clock.advance(40);
  registry.runs.recordListed(FIRST, pollResponseOf(1_000, []), 0);
  expect(crashAfterNextOrder()).toEqual([undefined, undefined]);
});

test("runs of a worker that leaves as announced are not reported", () => {
  const { registry } = setUp();
  const leaving = createHeartbeat("w1", 2);
  registry.recordHeartbeat({
    ...leaving,
    worker: { ...leaving.worker, draining: true },
  });
  registry.recordGone(FIRST, "deregistered");
  expect(registry.runs.unreportedLostRuns).toEqual([]);
});

test("a lost run is no longer reported once a leader has answered", () => {
  const { registry, crash } = setUp();
  crash();
  registry.runs.markLostRunsReported(registry.runs.unreportedLostRuns);
  expect(registry.runs.unreportedLostRuns).toEqual([]);
});

test("a lost run whose order is open is reported again once the order is closed", () => {
  const { registry, crash } = setUp();
  const { runs } = registry;
  runs.recordOrderOpen(RUN);
  crash();
  const lost = { ...RUN, workedMs: undefined, wasAtWork: false };
  expect(runs.unreportedLostRuns).toEqual([{ ...lost, isOrderOpen: true }]);
  runs.markLostRunsReported(runs.unreportedLostRuns);
  expect(runs.unreportedLostRuns).toEqual([{ ...lost, isOrderOpen: true }]);
  const reported = runs.unreportedLostRuns;
  runs.recordOrderClosed(RUN);
  // The leader's answer refers to the report before.
  runs.markLostRunsReported(reported);
  expect(runs.unreportedLostRuns).toEqual([lost]);
  runs.markLostRunsReported(runs.unreportedLostRuns);
  expect(runs.unreportedLostRuns).toEqual([]);
});

test("a run that was reported as lost but never began is reported as such until a leader answers", () => {
  const { registry, crash } = setUp();
  const { runs } = registry;
  runs.recordOrderOpen(RUN);
  crash();
  runs.markLostRunsReported(runs.unreportedLostRuns);
  runs.recordRefused(FIRST, RUN);
  runs.recordOrderClosed(RUN);
  expect(runs.unreportedLostRuns).toEqual([]);
  expect(runs.unreportedNeverBegun).toEqual([RUN]);
  runs.markNeverBegunReported(runs.unreportedNeverBegun);
  expect(runs.unreportedNeverBegun).toEqual([]);
});

test("a run that is refused before its incarnation ends is not reported at all", () => {
  const { registry, crash } = setUp();
  registry.runs.recordRefused(FIRST, RUN);
  crash();
  expect(registry.runs.unreportedNeverBegun).toEqual([]);
});

const responseWithEnd = (at: number): PollResponse => ({
  ...pollResponseOf(at, []),
  ended: [{ ...RUN, number: 1, outcome: "done", checkpoint: "" }],
});

test("a run whose end was listed before its incarnation ended is reported as ended until a leader answers", () => {
  const { registry, crash } = setUp();
  const { runs } = registry;
  runs.recordStarted(FIRST, RUN, timeOf(1_000));
  runs.recordListed(FIRST, responseWithEnd(1_500), 0);
  expect(runs.unreportedEnds).toEqual([]);
  crash();
  expect(runs.unreportedLostRuns).toEqual([]);
  expect(runs.unreportedEnds).toEqual([RUN]);
  runs.markEndsReported(runs.unreportedEnds);
  expect(runs.unreportedEnds).toEqual([]);
});

test("an end that a leader has acknowledged is not reported once its incarnation has ended", () => {
  const { registry, crash } = setUp();
  const { runs } = registry;
  runs.recordStarted(FIRST, RUN, timeOf(1_000));
  runs.recordListed(FIRST, responseWithEnd(1_500), 0);
  runs.recordListed(FIRST, pollResponseOf(1_600, []), 0);
  crash();
  expect(runs.unreportedEnds).toEqual([]);
});

test("a run is reported as at work only if the last poll was interrupted while it would have reported an end", () => {
  const interrupted = setUp();
  interrupted.registry.runs.recordStarted(FIRST, RUN, timeOf(1_000));
  interrupted.registry.runs.recordPollInterrupted(FIRST);
  interrupted.crash();
  expect(interrupted.registry.runs.unreportedLostRuns.map(wasAtWork)).toEqual([
    true,
  ]);
  const resumed = setUp();
  resumed.registry.runs.recordPollInterrupted(FIRST);
  // Only the connection was reset: the run may end later without the side receiving the end.
  resumed.registry.runs.recordListed(FIRST, pollResponseOf(1_200, [RUN]), 0);
  resumed.crash();
  expect(resumed.registry.runs.unreportedLostRuns.map(wasAtWork)).toEqual([
    false,
  ]);
});

// A poll or its response may be delayed on the network until the run has ended.
test("the report says how long a run can have worked when the poll was interrupted", async () => {
  const { clock, registry, crash } = setUp();
  await clock.advance(30);
  registry.runs.recordStarted(FIRST, RUN, timeOf(1_000));
  registry.runs.recordListed(FIRST, pollResponseOf(1_090, [RUN]), 0);
  await clock.advance(605);
  registry.runs.recordPollInterrupted(FIRST);
  // The next incarnation registers later.
  await clock.advance(2_000);
  crash();
  expect(registry.runs.unreportedLostRuns).toEqual([
    { ...RUN, workedMs: 90, wasAtWork: true, orderedMs: 635 },
  ]);
});

test("a run that a previous process of the side ordered may have worked for any time", async () => {
  const { clock, registry, crash } = setUp();
  const previous: RunRef = { ...RUN, run: brand<RunNumber>(8) };
  registry.runs.recordListed(FIRST, pollResponseOf(1_000, [previous]), 0);
  await clock.advance(20);
  registry.runs.recordPollInterrupted(FIRST);
  crash();
  const lost = registry.runs.unreportedLostRuns.find(
    ({ run }) => run === previous.run,
  );
  expect(lost?.orderedMs).toEqual(Number.MAX_SAFE_INTEGER);
});

const wasAtWork = (run: LostRun): boolean => run.wasAtWork;
