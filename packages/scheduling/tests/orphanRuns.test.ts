/** Runs of ended jobs are stopped whichever orders, answers or reports are lost. */

import { test } from "node:test";
import { expect } from "earl";
import { brand, type HostId, type RunNumber } from "@rackspan/common";
import type { RunRef } from "@rackspan/ports";
import type { HostCallResult } from "@rackspan/protocol";
import { EngineHarness, FakeHost, LEASE_MS, taskId } from "./engineHarness.js";

const TASK = taskId("j.0.0.0");
/** Time within which the users require a task of a cancelled job to be gone, milliseconds. */
const GONE_BY_MS = 3_200;

/** A host with a lasting task, which ends only when it is stopped. */
const startLasting = async () => {
  const harness = new EngineHarness();
  const host = await harness.addHost("h1");
  const job = harness.submit("j", [{ lasting: true }]);
  await harness.run(100);
  expect(host.isRunning(TASK)).toEqual(true);
  return { harness, host, job: job.spec.id };
};

/** Orders to the worker have no effect and get the given answer. */
const loseOrders = (host: FakeHost, answers: FakeHost["answers"]): void => {
  host.answers = answers;
  host.stopsAtOnce = false;
};

const executeOrders = (host: FakeHost): void => {
  host.answers = "ok";
  host.stopsAtOnce = true;
};

test("a stop that an unhealthy worker refuses is repeated until it is executed", async () => {
  // A report that lists a run is no answer to the order to stop it.
  const { harness, host, job } = await startLasting();
  loseOrders(host, "refused");
  host.refusal = "unhealthy";
  harness.engine.cancelJob(job);
  await harness.run(600);
  executeOrders(host);
  await harness.run(GONE_BY_MS);
  expect(host.isRunning(TASK)).toEqual(false);
});

test("a stop without an answer is repeated until it is executed", async () => {
  // A report that lists a run is no answer to the order to stop it.
  const { harness, host, job } = await startLasting();
  loseOrders(host, "silent");
  harness.engine.cancelJob(job);
  await harness.run(600);
  executeOrders(host);
  await harness.run(GONE_BY_MS);
  expect(host.isRunning(TASK)).toEqual(false);
});

test("a job that is cancelled while its host is detached is stopped when the host attaches again", async () => {
  // The first report over a new connection does not answer a stop that was never sent.
  const { harness, host, job } = await startLasting();
  harness.engine.detach(host.host, host);
  harness.engine.cancelJob(job);
  await harness.clock.advance(400);
  harness.engine.attach(host.host, host);
  await harness.run(500);
  expect(host.isRunning(TASK)).toEqual(false);
});

test("a stop that was sent over a connection that became silent is repeated over the next one", async () => {
  // The first report over a new connection does not answer a stop lost with the previous one.
  const { harness, host, job } = await startLasting();
  loseOrders(host, "hang");
  harness.engine.cancelJob(job);
  await harness.clock.advance(100);
  executeOrders(host);
  harness.engine.attach(host.host, host);
  harness.reportOf(host);
  await harness.run(500);
  expect(host.isRunning(TASK)).toEqual(false);
});

test("a stop that the worker has confirmed is repeated if the run stays listed", async () => {
  // A worker may confirm a stop without executing it.
  const { harness, host, job } = await startLasting();
  host.stopsAtOnce = false;
  harness.engine.cancelJob(job);
  await harness.run(100);
  expect(host.stops.length).toEqual(1);
  await harness.run(500);
  executeOrders(host);
  await harness.run(GONE_BY_MS);
  expect(host.isRunning(TASK)).toEqual(false);
});

test("a cancel stops a run that is already being stopped for another reason", async () => {
  // The stop that moves a lasting task may already be lost when the job is cancelled.
  const { harness, host, job } = await startLasting();
  loseOrders(host, "silent");
  host.draining = true;
  await harness.run(600);
  expect(host.stops.length > 0).toEqual(true);
  harness.engine.cancelJob(job);
  await harness.run(600);
  executeOrders(host);
  await harness.run(GONE_BY_MS);
  expect(host.isRunning(TASK)).toEqual(false);
});

/** A host that does not answer the order to start a task. */
const startUnanswered = async () => {
  const harness = new EngineHarness();
  const host = await harness.addHost("h1");
  loseOrders(host, "silent");
  const job = harness.submit("j", [{ lasting: true }]);
  await harness.run(100);
  const [order] = host.starts;
  if (!order) throw new Error("no start was ordered");
  return { harness, host, order, job: job.spec.id };
};

test("a start that is executed after its job was cancelled is stopped although the first stop was lost", async () => {
  // The report that lists the late run is no answer to the order to stop it.
  const { harness, host, order, job } = await startUnanswered();
  harness.engine.cancelJob(job);
  await harness.run(500);
  host.startLate(order);
  await harness.run(500);
  expect(host.isRunning(TASK)).toEqual(true);
  executeOrders(host);
  await harness.run(GONE_BY_MS);
  expect(host.isRunning(TASK)).toEqual(false);
});

test("a start that a confirmed stop has overtaken is never executed, and its resources are freed", async () => {
  const { harness, host, order, job } = await startUnanswered();
  executeOrders(host);
  harness.engine.cancelJob(job);
  await harness.run(100);
  host.startLate(order);
  await harness.run(500);
  expect(host.isRunning(TASK)).toEqual(false);
  const whole = { milliCores: 32_000, memoryMiB: 10, accelerators: 0 };
  harness.submit("k", [{ demand: whole }]);
  await harness.run(300);
  expect(host.runningTasks).toEqual([taskId("k.0.0.0")]);
});

test("the resources of an unanswered start of a cancelled job are freed once it has expired", async () => {
  // A run that never started is never listed, and the order to stop it may get no answer.
  const { harness, host, job } = await startUnanswered();
  harness.engine.cancelJob(job);
  await harness.run(3_000);
  const whole = { milliCores: 32_000, memoryMiB: 10, accelerators: 0 };
  harness.submit("k", [{ demand: whole }]);
  await harness.run(300);
  expect(host.starts.map(({ task }) => task)).toEqual([
    TASK,
    taskId("k.0.0.0"),
  ]);
});

/** The previous run of the same task. */
const previousRun = ({ task, run }: RunRef): RunRef => ({
  task,
  run: (run - 1) as unknown as RunNumber,
});

test("a late run beside the task's current run on one worker is stopped, whichever is listed first", async () => {
  // The rows of a report are distinguished by run, not by task.
  for (const listsNewestFirst of [false, true]) {
    const { harness, host } = await startLasting();
    const [order] = host.starts;
    if (!order) throw new Error("no start was ordered");
    host.listsNewestFirst = listsNewestFirst;
    host.startLate(previousRun(order));
    await harness.run(1_000);
    expect(host.runs.map(({ run }) => run)).toEqual([order.run]);
    expect(host.starts.length).toEqual(1);
  }
});

/** The next leader; the host has not attached to it yet. */
const createNextLeader = (
  before: EngineHarness,
  host: FakeHost,
  silent: readonly HostId[] = [],
): EngineHarness => {
  const roster = [host.host, ...silent];
  const after = new EngineHarness({ epoch: 2, roster, clock: before.clock });
  after.hosts.push(host);
  return after;
};

test("a new leader finds both runs of one task on a worker and stops both after a cancel", async () => {
  // The rows of a report are distinguished by run, not by task.
  const before = await startLasting();
  const { host } = before;
  const [order] = host.starts;
  if (!order) throw new Error("no start was ordered");
  host.startLate(previousRun(order));
  before.harness.isLeader = false;
  const after = createNextLeader(before.harness, host);
  const job = after.submit("j", [{ lasting: true }]);
  after.engine.cancelJob(job.spec.id);
  after.engine.attach(host.host, host);
  await after.run(1_000);
  expect(host.runs).toEqual([]);
});

test("a new leader keeps the later of two runs of one task and stops the other", async () => {
  // The rows of a report are distinguished by run, not by task.
  for (const listsNewestFirst of [false, true]) {
    const before = await startLasting();
    const { host } = before;
    const [order] = host.starts;
    if (!order) throw new Error("no start was ordered");
    host.startLate(previousRun(order));
    host.listsNewestFirst = listsNewestFirst;
    before.harness.isLeader = false;
    const after = createNextLeader(before.harness, host);
    after.submit("j", [{ lasting: true }]);
    after.engine.attach(host.host, host);
    await after.run(1_000);
    expect(host.runs.map(({ run }) => run)).toEqual([order.run]);
    expect(host.starts.length).toEqual(1);
  }
});

test("a cancel stops all active runs of a task", async () => {
  // The run that was placed last may not be the only one.
  const harness = new EngineHarness();
  const first = await harness.addHost("h1");
  let answer: (result: HostCallResult) => void = () => undefined;
  first.startTask = () => new Promise((resolve) => (answer = resolve));
  const large = { milliCores: 20_000, memoryMiB: 10, accelerators: 0 };
  const job = harness.submit("j", [{ lasting: true, demand: large }]);
  await harness.clock.advance(50);
  const second = await harness.addHost("h2");
  harness.engine.handleWorkerGone(first.host, first.instance);
  await harness.run(100, [second]);
  expect(second.isRunning(TASK)).toEqual(true);
  answer({ kind: "replaced" });
  first.replaceWorker();
  first.startTask = FakeHost.prototype.startTask.bind(first);
  await harness.run(300);
  harness.engine.cancelJob(job.spec.id);
  await harness.run(1_000);
  expect([...first.runs, ...second.runs]).toEqual([]);
});

test("a stop without an answer is repeated only after its timeout", async () => {
  // Otherwise each report would add an order to those that still wait at a silent worker.
  const before = await startLasting();
  const { host } = before;
  before.harness.isLeader = false;
  const after = createNextLeader(before.harness, host);
  const job = after.submit("j", [{ lasting: true }]);
  after.engine.cancelJob(job.spec.id);
  after.engine.forgetJob(job.spec.id);
  loseOrders(host, "hang");
  after.engine.attach(host.host, host);
  await after.run(1_500);
  expect(host.stops.length).toEqual(1);
  executeOrders(host);
  await after.run(GONE_BY_MS - 1_500);
  expect(host.isRunning(TASK)).toEqual(false);
});

test("a cancel under the previous leader is executed before the next one may start anything", async () => {
  const before = await startLasting();
  const { host } = before;
  loseOrders(host, "silent");
  before.harness.engine.cancelJob(before.job);
  await before.harness.run(100);
  before.harness.isLeader = false;
  const silent = brand<HostId>("h2");
  const after = createNextLeader(before.harness, host, [silent]);
  const job = after.submit("j", [{ lasting: true }]);
  after.engine.cancelJob(job.spec.id);
  after.submit("k", [{}]);
  executeOrders(host);
  after.engine.attach(host.host, host);
  await after.run(300);
  expect(host.runs).toEqual([]);
  expect(host.starts.length).toEqual(1);
});

test("the stop of a late run of a removed job is repeated until the run has ended", async () => {
  const { harness, host, order, job } = await startUnanswered();
  await harness.run(3_000);
  const [, next] = host.starts;
  expect(next?.task).toEqual(order.task);
  harness.engine.cancelJob(job);
  await harness.run(3_000);
  harness.engine.forgetJob(job);
  host.startLate(order);
  await harness.run(1_000);
  expect(host.isRunning(TASK)).toEqual(true);
  executeOrders(host);
  await harness.run(500);
  expect(host.isRunning(TASK)).toEqual(false);
});

test("a cancelled job whose host stays detached does not start elsewhere", async () => {
  const { harness, host, job } = await startLasting();
  harness.engine.detach(host.host, host);
  harness.engine.cancelJob(job);
  const other = await harness.addHost("h2");
  await harness.run(LEASE_MS + 500, [other]);
  expect(other.starts).toEqual([]);
  expect(host.stops).toEqual([]);
});
