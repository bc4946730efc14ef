/** An overdue scheduling cycle does not run while a report is only partly processed. */

import { test } from "node:test";
import { expect } from "earl";
import { EngineHarness, LEASE_MS, taskId } from "./engineHarness.js";

/** Longer than a scheduling cycle may be overdue. */
const SUSPENSION_MS = 600;

test("a report after a process suspension counts the last failure before anything is started", async () => {
  const harness = new EngineHarness();
  const host = await harness.addHost("h1");
  harness.submit("j", [{}]);
  await harness.run(100);
  host.end(taskId("j.0.0.0"), "failed");
  await harness.run(200);
  expect(host.isRunning(taskId("j.0.0.0"))).toEqual(true);
  harness.engine.handleOperatorChange();
  harness.clock.freeze(SUSPENSION_MS);
  host.end(taskId("j.0.0.0"), "failed");
  harness.reportOf(host);
  await harness.run(300);
  expect(host.starts.length).toEqual(2);
});

test("a report after a process suspension is reconciled completely before anything is started", async () => {
  const harness = new EngineHarness();
  const late = await harness.addHost("h1");
  late.answers = "silent";
  harness.submit("late", [{}]);
  await harness.run(100);
  const [order] = late.starts;
  if (!order) throw new Error("no start was ordered");
  late.answers = "ok";
  harness.submit("lost", [{}]);
  await harness.run(100);
  // Nothing may be started until both the lost run and the late one are resolved.
  harness.isLeader = false;
  await harness.run(LEASE_MS / 2);
  const other = await harness.addHost("h2");
  harness.isLeader = true;
  expect(late.isRunning(taskId("late.0.0.0"))).toEqual(false);
  late.vanish(taskId("lost.0.0.0"));
  late.startLate(order);
  harness.engine.handleOperatorChange();
  harness.clock.freeze(SUSPENSION_MS);
  harness.reportOf(late);
  await harness.run(300);
  const starts = [late, other].flatMap(({ starts }) => starts);
  const ofLate = starts.filter(({ task }) => task === taskId("late.0.0.0"));
  expect(ofLate.length).toEqual(1);
});

test("an overdue scheduling cycle runs as soon as a report is processed", async () => {
  const harness = new EngineHarness();
  const host = await harness.addHost("h1");
  await harness.run(100);
  harness.submit("j", [{}]);
  harness.clock.freeze(SUSPENSION_MS);
  expect(host.starts.length).toEqual(0);
  harness.reportOf(host);
  expect(host.starts.length).toEqual(1);
});
