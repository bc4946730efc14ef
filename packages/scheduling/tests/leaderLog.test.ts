/** The leader's log distinguishes late answers from a stalled process. */

import { test } from "node:test";
import { expect } from "earl";
import { sleep } from "@rackspan/common";
import { EngineHarness, taskId } from "./engineHarness.js";
import { harnessWithLog } from "./harnessWithLog.js";

const ANSWER_MS = 70;
const APPEND_MS = 30;
/** Longer than the timer delay from which a line is logged. */
const STALL_MS = 700;
/** A wait of at least a second. */
const LONG_WAIT = /rackspan_longest_wait_ms\{kind="plain"\} \d{4}/;

const linesOf = (lines: readonly string[], event: string): string[] =>
  lines.filter((line) => line.includes(`event=${event} `));

test("an answer for a run that was lost is logged as ignored", async () => {
  const { harness, lines } = harnessWithLog();
  const host = await harness.addHost("h1");
  host.answers = "held";
  harness.submit("j", [{}]);
  await harness.clock.advance(50);
  harness.engine.handleWorkerGone(host.host, host.instance);
  await harness.clock.advance(ANSWER_MS);
  host.answerHeld({ kind: "replaced" });
  await harness.clock.advance(1);
  const [line = ""] = linesOf(lines, "task.start");
  expect(line).toInclude("passedOver=true");
});

test("an answer that arrives in time is logged with its duration", async () => {
  const { harness, lines } = harnessWithLog();
  const host = await harness.addHost("h1");
  host.answers = "held";
  harness.submit("j", [{}]);
  await harness.clock.advance(8);
  expect(host.starts.length).toEqual(1);
  await harness.clock.advance(ANSWER_MS);
  host.answerHeld({ kind: "refused", reason: "no-room" });
  await harness.clock.advance(1);
  const [line = ""] = linesOf(lines, "task.start");
  expect(line).toInclude(`tookMs=${ANSWER_MS}`);
  expect(line).not.toInclude("passedOver");
});

test("a process whose timers fire late logs that", async () => {
  const { harness, lines } = harnessWithLog();
  await harness.run(1_000);
  expect(linesOf(lines, "engine.late")).toEqual([]);
  harness.clock.freeze(STALL_MS);
  await harness.run(1_000);
  expect(linesOf(lines, "engine.late").length).toEqual(1);
});

test("a late timer is logged with the time for which the process was paused", async () => {
  let totalMs = 4_000;
  const pauses = { totalPausedMs: () => totalMs };
  const { harness, lines } = harnessWithLog({ pauses });
  await harness.run(1_000);
  harness.clock.freeze(STALL_MS);
  totalMs += 500;
  await harness.run(1_000);
  const [line = ""] = linesOf(lines, "engine.late");
  expect(line).toInclude("pausedMs=500");
  expect(await harness.metrics.total("process_paused_ms")).toEqual(500);
});

// Without the parts, a late start looks the same whether the store, a host or the leader was slow.
test("the first start of a job is logged with the time that each part of it took", async () => {
  let totalMs = 0;
  const pauses = { totalPausedMs: () => totalMs };
  const policy = { recordsPlacements: true };
  const { harness, lines } = harnessWithLog({ pauses, policy });
  const { store, clock } = harness;
  const append = store.append.bind(store);
  store.append = async (req) => {
    await sleep(clock, APPEND_MS);
    return append(req);
  };
  harness.submit("j", [{ taskCount: 2 }]);
  await harness.run(300);
  totalMs = 40;
  const host = await harness.addHost("h1");
  host.answers = "held";
  await harness.run(100);
  await clock.advance(ANSWER_MS);
  host.answerHeld({ kind: "ok", at: host.at });
  await harness.run(100);
  const started = linesOf(lines, "job.started");
  expect(started.length).toEqual(1);
  const [line = ""] = started;
  expect(line).toMatchRegex(/ job=\S+ queue=\S+ heardMs=0 waitedMs=3\d\d /);
  expect(line).toMatchRegex(/ recordMs=3\d orderMs=1\d\d pausedMs=40$/);
});

/** Only one such task fits on a host. */
const wholeHost = {
  demand: { milliCores: 20_000, memoryMiB: 10, accelerators: 0 },
};

// A late job looks the same whether it was overtaken, began late or had one slow task.
test("an ended job is logged with its waits, what overtook it, and the time of its last task", async () => {
  const { harness, lines } = harnessWithLog();
  const first = await harness.addHost("h1");
  harness.submit("running", [wholeHost]);
  await harness.run(100);
  harness.submit("large", [{ taskCount: 2, ...wholeHost }]);
  await harness.run(200);
  harness.submit("small", [wholeHost]);
  await harness.run(100);
  first.end(taskId("running.0.0.0"), "done");
  await harness.run(300);
  const second = await harness.addHost("h2");
  first.end(taskId("small.0.0.0"), "done");
  await harness.run(200);
  first.end(first.runs[0]?.task ?? taskId("none"), "done");
  await harness.run(400);
  second.end(second.runs[0]?.task ?? taskId("none"), "done");
  await harness.run(200);
  const ended = linesOf(lines, "job.ended");
  const line = ended.find((each) => each.includes("job=large ")) ?? "";
  expect(line).toMatchRegex(
    / waitedMs=[67]\d\d overtakenBy=1 lastTaskMs=4\d\d$/,
  );
  const small = ended.find((each) => each.includes("job=small ")) ?? "";
  expect(small).toInclude("overtakenBy=0 lastTaskMs=0");
});

test("an engine that no longer leads exports no wait times", async () => {
  const harness = new EngineHarness();
  harness.submit("j", [{}]);
  await harness.run(3_000);
  expect(await harness.metrics.render()).toMatchRegex(LONG_WAIT);
  harness.engine.stop();
  expect(await harness.metrics.render()).not.toMatchRegex(LONG_WAIT);
});
