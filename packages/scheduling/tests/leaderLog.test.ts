/** The leader's log distinguishes late answers from a stalled process. */

import { test } from "node:test";
import { expect } from "earl";
import { EngineHarness } from "./engineHarness.js";
import { harnessWithLog } from "./harnessWithLog.js";

const ANSWER_MS = 70;
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

test("an engine that no longer leads exports no wait times", async () => {
  const harness = new EngineHarness();
  harness.submit("j", [{}]);
  await harness.run(3_000);
  expect(await harness.metrics.render()).toMatchRegex(LONG_WAIT);
  harness.engine.stop();
  expect(await harness.metrics.render()).not.toMatchRegex(LONG_WAIT);
});
