/** Runs of jobs that are over: what was lost on the way to their stop. */

import { test } from "node:test";
import { expect } from "earl";
import { brand, type HostId, type RunNumber } from "@rackspan/common";
import type { RunRef } from "@rackspan/ports";
import type { HostCallResult } from "@rackspan/protocol";
import { EngineHarness, FakeHost, LEASE_MS, taskId } from "./engineHarness.js";

const TASK = taskId("j.0.0.0");
/** By then a task of a cancelled job is gone, milliseconds: what the users allow. */
const GONE_BY_MS = 3_200;

/** A host that runs a lasting task, which ends only when it is told to. */
const startLasting = async () => {
  const harness = new EngineHarness();
  const host = await harness.addHost("h1");
  const job = harness.submit("j", [{ lasting: true }]);
  await harness.run(100);
  expect(host.isRunning(TASK)).toEqual(true);
  return { harness, host, job: job.spec.id };
};

/** Orders to the worker have no effect, and are answered so. */
const loseOrders = (host: FakeHost, answers: FakeHost["answers"]): void => {
  host.answers = answers;
  host.stopsAtOnce = false;
};

const heed = (host: FakeHost): void => {
  host.answers = "ok";
  host.stopsAtOnce = true;
};

test("a stop that an unhealthy worker refuses is given again until it is obeyed", async () => {
  // Users saw a task run on after its job was cancelled, with its lease renewed.
  // Order: cancel, the worker refuses the stop for a moment, a report lists the run.
  // Cause: a report that lists a run counted as the answer to its stop.
  const { harness, host, job } = await startLasting();
  loseOrders(host, "refused");
  host.refusal = "unhealthy";
  harness.engine.cancelJob(job);
  await harness.run(600);
  heed(host);
  await harness.run(GONE_BY_MS);
  expect(host.isRunning(TASK)).toEqual(false);
});

test("a stop without an answer is given again until it is obeyed", async () => {
  // Users saw a task run on after its job was cancelled, with its lease renewed.
  // Order: cancel, the worker is silent to orders for a moment, a report lists the run.
  // Cause: a report that lists a run counted as the answer to its stop.
  const { harness, host, job } = await startLasting();
  loseOrders(host, "silent");
  harness.engine.cancelJob(job);
  await harness.run(600);
  heed(host);
  await harness.run(GONE_BY_MS);
  expect(host.isRunning(TASK)).toEqual(false);
});

test("a job that is cancelled while its host is cut off is stopped when the host is back", async () => {
  // Users saw a task run on after its job was cancelled, with its lease renewed.
  // Order: the side's connection breaks, cancel, the side attaches and reports at once.
  // Cause: no stop was sent for want of a connection, and the first report of the
  // new one counted as the answer to it.
  const { harness, host, job } = await startLasting();
  harness.engine.detach(host.host, host);
  harness.engine.cancelJob(job);
  await harness.clock.advance(400);
  harness.engine.attach(host.host, host);
  await harness.run(500);
  expect(host.isRunning(TASK)).toEqual(false);
});

test("a stop that went out on a connection that fell silent is given again on the next one", async () => {
  // Users saw a task run on after its job was cancelled, with its lease renewed.
  // Order: the connection falls silent, cancel, the side attaches anew and reports.
  // Cause: the stop was lost with the old connection, and the first report of the
  // new one counted as the answer to it.
  const { harness, host, job } = await startLasting();
  loseOrders(host, "hang");
  harness.engine.cancelJob(job);
  await harness.clock.advance(100);
  heed(host);
  harness.engine.attach(host.host, host);
  harness.reportOf(host);
  await harness.run(500);
  expect(host.isRunning(TASK)).toEqual(false);
});

test("a stop that the worker has confirmed is given again when the run is listed on and on", async () => {
  // Users saw a task run on after its job was cancelled, with its lease renewed.
  // Order: cancel, the worker says that it stops the run, and lists it ever after.
  // Cause: a stop that was answered once was never given again.
  const { harness, host, job } = await startLasting();
  host.stopsAtOnce = false;
  harness.engine.cancelJob(job);
  await harness.run(100);
  expect(host.stops.length).toEqual(1);
  await harness.run(500);
  heed(host);
  await harness.run(GONE_BY_MS);
  expect(host.isRunning(TASK)).toEqual(false);
});

test("a run that is being stopped for another reason is stopped for a cancel as well", async () => {
  // Users saw a task run on after its job was cancelled, with its lease renewed.
  // Order: the worker drains, its lasting task is to move and the stop is lost, cancel.
  // Cause: a run that was being stopped was not stopped again, and a report that
  // lists it counted as the answer to the first stop.
  const { harness, host, job } = await startLasting();
  loseOrders(host, "silent");
  host.draining = true;
  await harness.run(600);
  expect(host.stops.length > 0).toEqual(true);
  harness.engine.cancelJob(job);
  await harness.run(600);
  heed(host);
  await harness.run(GONE_BY_MS);
  expect(host.isRunning(TASK)).toEqual(false);
});

/** A host that leaves the order to start a task without an answer, and its job's id. */
const startUnanswered = async () => {
  const harness = new EngineHarness();
  const host = await harness.addHost("h1");
  loseOrders(host, "silent");
  const job = harness.submit("j", [{ lasting: true }]);
  await harness.run(100);
  const [order] = host.starts;
  if (!order) throw new Error("nothing was ordered");
  return { harness, host, order, job: job.spec.id };
};

test("a start that is carried out after its job's cancel is stopped, though the first stop was lost", async () => {
  // Users saw a task that its worker had started late run on after a cancel.
  // Order: start and stop without an answer, the worker carries out only the start.
  // Cause: the report that lists the late run counted as the answer to its stop.
  const { harness, host, order, job } = await startUnanswered();
  harness.engine.cancelJob(job);
  await harness.run(500);
  host.beginLate(order);
  await harness.run(500);
  expect(host.isRunning(TASK)).toEqual(true);
  heed(host);
  await harness.run(GONE_BY_MS);
  expect(host.isRunning(TASK)).toEqual(false);
});

test("a start that a confirmed stop has overtaken never begins, and frees its room", async () => {
  const { harness, host, order, job } = await startUnanswered();
  heed(host);
  harness.engine.cancelJob(job);
  await harness.run(100);
  host.beginLate(order);
  await harness.run(500);
  expect(host.isRunning(TASK)).toEqual(false);
  const whole = { milliCores: 32_000, memoryMiB: 10, accelerators: 0 };
  harness.submit("k", [{ demand: whole }]);
  await harness.run(300);
  expect(host.runningTasks).toEqual([taskId("k.0.0.0")]);
});

test("an unanswered start of a cancelled job frees its room once it can begin no more", async () => {
  // Users saw other jobs wait for room that a cancelled job, never begun, had taken.
  // Order: start and stop without an answer, the order lapses, reports list nothing.
  // Cause: only the answer to its stop told that the run is not there.
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

/** The run before the given one, of the same task. */
const runBefore = ({ task, run }: RunRef): RunRef => ({
  task,
  run: (run - 1) as unknown as RunNumber,
});

test("a late run beside the task's own on one worker is stopped, whichever is listed first", async () => {
  // Users saw a task run on after its job was cancelled, beside a run that was stopped.
  // Order: a worker begins an earlier run late, while the next one of the task runs there.
  // Cause: rows of a report were told apart by task, so one of two runs was not seen.
  for (const newestFirst of [false, true]) {
    const { harness, host } = await startLasting();
    const [order] = host.starts;
    if (!order) throw new Error("nothing was ordered");
    host.listsNewestFirst = newestFirst;
    host.beginLate(runBefore(order));
    await harness.run(1_000);
    expect(host.runs.map(({ run }) => run)).toEqual([order.run]);
    expect(host.starts.length).toEqual(1);
  }
});

/** The next leader, to which the host has not attached yet. */
const takeOver = (
  before: EngineHarness,
  host: FakeHost,
  silent: readonly HostId[] = [],
): EngineHarness => {
  const roster = [host.host, ...silent];
  const after = new EngineHarness({ epoch: 2, roster, clock: before.clock });
  after.hosts.push(host);
  return after;
};

test("a new leader finds both runs of one task on a worker, and stops both after a cancel", async () => {
  // Users saw a task run on after its job was cancelled and its leader had changed.
  // Order: two runs of a task on one worker, its job is cancelled, a new leader.
  // Cause: rows of a report were told apart by task, so one of two runs was not seen.
  const before = await startLasting();
  const { host } = before;
  const [order] = host.starts;
  if (!order) throw new Error("nothing was ordered");
  host.beginLate(runBefore(order));
  before.harness.leads = false;
  const after = takeOver(before.harness, host);
  const job = after.submit("j", [{ lasting: true }]);
  after.engine.cancelJob(job.spec.id);
  after.engine.attach(host.host, host);
  await after.run(1_000);
  expect(host.runs).toEqual([]);
});

test("a new leader keeps the later of two runs of one task, and stops the other", async () => {
  // Users saw two runs of one task go on beside each other after a change of leader.
  // Order: two runs of a task on one worker, a new leader takes over.
  // Cause: rows of a report were told apart by task, so one of two runs was not seen.
  for (const newestFirst of [false, true]) {
    const before = await startLasting();
    const { host } = before;
    const [order] = host.starts;
    if (!order) throw new Error("nothing was ordered");
    host.beginLate(runBefore(order));
    host.listsNewestFirst = newestFirst;
    before.harness.leads = false;
    const after = takeOver(before.harness, host);
    after.submit("j", [{ lasting: true }]);
    after.engine.attach(host.host, host);
    await after.run(1_000);
    expect(host.runs.map(({ run }) => run)).toEqual([order.run]);
    expect(host.starts.length).toEqual(1);
  }
});

test("a cancel stops all runs of a task that hosts are believed to run", async () => {
  // Users saw a task run on after its job was cancelled, beside a run that was stopped.
  // Order: a task runs on two hosts, since it was taken as waiting twice; cancel.
  // Cause: a cancel stopped the run that was placed last, and no other.
  const harness = new EngineHarness();
  const first = await harness.addHost("h1");
  let answer: (result: HostCallResult) => void = () => undefined;
  first.startTask = () => new Promise((resolve) => (answer = resolve));
  const large = { milliCores: 20_000, memoryMiB: 10, accelerators: 0 };
  const job = harness.submit("j", [{ lasting: true, demand: large }]);
  await harness.clock.advance(50);
  const second = await harness.addHost("h2");
  harness.engine.noteWorkerGone(first.host, first.instance);
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

test("a stop that hangs is not given again beside itself, but once it has had its time", async () => {
  // Users saw dozens of orders wait at a worker that had stopped answering.
  // Order: a new leader finds runs of a cancelled job, their stops get no answer.
  // Cause: each report gave the stop again, beside those that were still on their way.
  const before = await startLasting();
  const { host } = before;
  before.harness.leads = false;
  const after = takeOver(before.harness, host);
  const job = after.submit("j", [{ lasting: true }]);
  after.engine.cancelJob(job.spec.id);
  after.engine.forgetJob(job.spec.id);
  loseOrders(host, "hang");
  after.engine.attach(host.host, host);
  await after.run(1_500);
  expect(host.stops.length).toEqual(1);
  heed(host);
  await after.run(GONE_BY_MS - 1_500);
  expect(host.isRunning(TASK)).toEqual(false);
});

test("a cancel under the former leader is carried out before the next one may start anything", async () => {
  const before = await startLasting();
  const { host } = before;
  loseOrders(host, "silent");
  before.harness.engine.cancelJob(before.job);
  await before.harness.run(100);
  before.harness.leads = false;
  const silent = brand<HostId>("h2");
  const after = takeOver(before.harness, host, [silent]);
  const job = after.submit("j", [{ lasting: true }]);
  after.engine.cancelJob(job.spec.id);
  after.submit("k", [{}]);
  heed(host);
  after.engine.attach(host.host, host);
  await after.run(300);
  expect(host.runs).toEqual([]);
  expect(host.starts.length).toEqual(1);
});

test("a late run of a job that is kept no longer is stopped again until it has ended", async () => {
  const { harness, host, order, job } = await startUnanswered();
  await harness.run(3_000);
  const [, next] = host.starts;
  expect(next?.task).toEqual(order.task);
  harness.engine.cancelJob(job);
  await harness.run(3_000);
  harness.engine.forgetJob(job);
  host.beginLate(order);
  await harness.run(1_000);
  expect(host.isRunning(TASK)).toEqual(true);
  heed(host);
  await harness.run(500);
  expect(host.isRunning(TASK)).toEqual(false);
});

test("a cancelled job whose host is cut off for good starts nowhere else", async () => {
  const { harness, host, job } = await startLasting();
  harness.engine.detach(host.host, host);
  harness.engine.cancelJob(job);
  const other = await harness.addHost("h2");
  await harness.run(LEASE_MS + 500, [other]);
  expect(other.starts).toEqual([]);
  expect(host.stops).toEqual([]);
});
