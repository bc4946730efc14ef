/** Runs that had not started when their workers crashed are no evidence against their tasks. */

import { test } from "node:test";
import { expect } from "earl";
import type { HostCallResult, LostRun } from "@rackspan/protocol";
import { STARTED_PROGRESS, plainJob } from "@rackspan/standins";
import type { AcceptedJob, ProgressRecord } from "@rackspan/state";
import {
  evidenceOf,
  hostOfTask,
  JOB,
  progressOf,
  createSite,
  stateOf,
  TASK,
} from "./singleJobSite.js";
import { EngineHarness, type FakeHost } from "./engineHarness.js";

/** After one more lost run without proof the task fails permanently. */
const NEAR_LIMIT: ProgressRecord = {
  ...STARTED_PROGRESS,
  crashes: [
    [
      "0.0.0",
      [
        [1, "young"],
        [2, "unanswered"],
      ],
    ],
  ],
};

const hostWithOrder = (site: EngineHarness): FakeHost | undefined =>
  site.hosts.find(
    ({ answers, starts }) =>
      answers === "held" && starts.some(({ task }) => task === TASK),
  );

/** Crashes the worker of the running task; later orders get the given answer. */
const crashWorker = async (
  site: EngineHarness,
  state: Partial<LostRun>,
  answers: FakeHost["answers"] = "ok",
): Promise<void> => {
  const host = await hostOfTask(site);
  await site.run(100);
  for (const one of site.hosts) one.answers = answers;
  host.replaceWorker();
  host.lostRuns = host.lostRuns.map((lost) => ({
    ...lost,
    workedMs: 90,
    ...state,
  }));
  await site.run(100);
};

/** Crashes the worker while the order is unanswered; the answer, if any, arrives later. */
const crashDuringOrder = async (
  site: EngineHarness,
  answer: HostCallResult | undefined,
  state: Partial<LostRun> = {},
): Promise<void> => {
  const host = hostWithOrder(site);
  const order = host?.starts.findLast(({ task }) => task === TASK);
  if (!host || !order) throw new Error("the task was not ordered");
  const lost = { task: TASK, run: order.run, wasAtWork: false, ...state };
  // The next run of the task is ordered from another host.
  host.answers = "ok";
  for (const other of site.hosts) if (other !== host) other.answers = "held";
  host.replaceWorker();
  host.lostRuns = [lost];
  await site.run(300);
  if (answer) host.answerHeld(answer);
  await site.run(300);
};

test("an order that another incarnation answers is no crash of its task", async () => {
  const site = await createSite(3);
  for (const host of site.hosts) host.answers = "held";
  site.submit(JOB, [{ estimateMs: 500 }]);
  await site.run(100);
  await crashDuringOrder(site, { kind: "replaced" });
  expect(evidenceOf(site)).toEqual([]);
});

test("the run of an unanswered order to a crashed worker may have started", async () => {
  const site = await createSite(3);
  for (const host of site.hosts) host.answers = "held";
  site.submit(JOB, [{ estimateMs: 500 }]);
  await site.run(100);
  await crashDuringOrder(site, { kind: "silent" });
  expect(evidenceOf(site)).toEqual(["unseen"]);
});

test("a task does not fail permanently before the order of its last run is answered", async () => {
  const site = await createSite(4);
  site.submit(JOB, [{ estimateMs: 500 }]);
  await crashWorker(site, { orderedMs: 100 });
  await crashWorker(site, { orderedMs: 635 }, "held");
  expect(evidenceOf(site)).toEqual(["young", "unanswered"]);
  await site.run(200);
  await crashDuringOrder(site, undefined, { wasAtWork: true, orderedMs: 10 });
  expect(evidenceOf(site)).toEqual(["young", "unanswered"]);
  expect(stateOf(site)).toEqual("running");
  for (const host of site.hosts) host.answerHeld({ kind: "replaced" });
  for (const host of site.hosts) host.answers = "ok";
  await site.run(3_000);
  expect(site.hosts.some((one) => one.isRunning(TASK))).toEqual(true);
});

test("a run ordered from a worker that no longer answered is no crash of its task", async () => {
  const site = await createSite(3);
  for (const host of site.hosts) host.answers = "held";
  site.submit(JOB, [{ estimateMs: 500 }]);
  await site.run(100);
  await crashDuringOrder(site, { kind: "silent" }, { orderedMs: -40 });
  expect(evidenceOf(site)).toEqual(["unknown"]);
});

/** Orders a task that fails permanently if one more run is lost. */
const orderNearLimit = async (site: EngineHarness): Promise<AcceptedJob> => {
  for (const host of site.hosts) host.answers = "held";
  const acceptedAt = site.clock.now();
  const job = plainJob({ id: JOB, steps: [{ estimateMs: 500 }], acceptedAt });
  site.engine.addJob(job, NEAR_LIMIT);
  await site.run(200);
  return job;
};

/** The next leader, to which all sides attach immediately. */
const startNextLeader = (
  site: EngineHarness,
  job: AcceptedJob,
  progress: ProgressRecord | undefined,
): EngineHarness => {
  const { clock, store } = site;
  const next = new EngineHarness({ epoch: 2, clock, store, roster: [] });
  next.engine.addJob(job, progress);
  for (const host of site.hosts) {
    host.answers = "ok";
    next.hosts.push(host);
    next.engine.attach(host.host, host);
    next.reportOf(host);
  }
  return next;
};

const crashAfterOrder = (host: FakeHost): void => {
  const { task, run } = host.starts.at(-1) ?? {};
  if (task === undefined || run === undefined)
    throw new Error("no start was ordered");
  host.replaceWorker();
  host.lostRuns = [{ task, run, wasAtWork: true, orderedMs: 10 }];
};

test("a run whose order is open when its leader ends does not fail its task at the next leader", async () => {
  const site = await createSite(3);
  const job = await orderNearLimit(site);
  const host = hostWithOrder(site);
  if (!host) throw new Error("the task was not ordered");
  crashAfterOrder(host);
  await site.run(300);
  site.isLeader = false;
  site.engine.stop();
  host.answerHeld({ kind: "replaced" });
  const next = startNextLeader(site, job, progressOf(site));
  await next.run(3_000);
  expect(stateOf(next)).toEqual("running");
});

test("the answer to an order does not shorten the wait for the answer to the next one", async () => {
  const site = await createSite(4);
  await orderNearLimit(site);
  const first = hostWithOrder(site);
  if (!first) throw new Error("the task was not ordered");
  crashAfterOrder(first);
  await site.run(300);
  first.answerHeld({ kind: "replaced" });
  await site.run(300);
  const second = site.hosts.find(
    (host) => host.starts.length > (host === first ? 1 : 0),
  );
  if (!second) throw new Error("the task was not ordered again");
  crashAfterOrder(second);
  await site.run(1_700);
  second.answerHeld({ kind: "replaced" });
  await site.run(300);
  expect(stateOf(site)).toEqual("running");
});

test("a lost run that is reported to a new leader while its order is open does not fail its task", async () => {
  const site = await createSite(3);
  const job = await orderNearLimit(site);
  const host = hostWithOrder(site);
  if (!host) throw new Error("the task was not ordered");
  const progress = progressOf(site);
  site.isLeader = false;
  site.engine.stop();
  crashAfterOrder(host);
  const next = startNextLeader(site, job, progress);
  await next.run(60);
  host.answerHeld({ kind: "replaced" });
  await next.run(3_000);
  expect(stateOf(next)).toEqual("running");
});

/** A side reports the lost run to the next leader while the order is still open. */
const reportWhileOpen = async (): Promise<{
  readonly next: EngineHarness;
  readonly host: FakeHost;
}> => {
  const site = await createSite(3);
  const job = await orderNearLimit(site);
  const host = hostWithOrder(site);
  if (!host) throw new Error("the task was not ordered");
  const progress = progressOf(site);
  site.isLeader = false;
  site.engine.stop();
  crashAfterOrder(host);
  const next = startNextLeader(site, job, progress);
  await next.run(1_000);
  return { next, host };
};

const startsOf = ({ hosts }: EngineHarness): number =>
  hosts.flatMap(({ starts }) => starts).filter(({ task }) => task === TASK)
    .length;

test("a task that may fail because of an open order is not started until the order is closed", async () => {
  const { next, host } = await reportWhileOpen();
  expect(startsOf(next)).toEqual(1);
  expect(stateOf(next)).toEqual("running");
  host.answerHeld({ kind: "silent" });
  await next.run(200);
  expect(stateOf(next)).toEqual("failed");
  expect(startsOf(next)).toEqual(1);
});

test("a task fails permanently if its side does not report the outcome of an open order", async () => {
  const { next } = await reportWhileOpen();
  await next.run(1_000, []);
  expect(stateOf(next)).toEqual("failed");
  expect(startsOf(next)).toEqual(1);
});

test("an open order that its leader sent over a previous connection does not fail its task", async () => {
  const site = await createSite(3);
  await orderNearLimit(site);
  const host = hostWithOrder(site);
  const order = host?.starts.at(-1);
  if (!host || !order) throw new Error("the task was not ordered");
  site.engine.attach(host.host, host);
  const { task, run } = order;
  host.replaceWorker();
  const lost = { task, run, wasAtWork: true, orderedMs: 10 };
  host.lostRuns = [{ ...lost, isOrderOpen: true }];
  await site.run(300);
  expect(evidenceOf(site)).toEqual(["young", "unanswered"]);
  expect(stateOf(site)).toEqual("running");
  site.engine.handleReport(host.host, host.zone, {
    ...host.report(),
    lostRuns: [],
    neverBegun: [{ task, run }],
  });
  await site.run(3_000);
  expect(stateOf(site)).toEqual("running");
});

test("the evidence of a run that is reported as never started while its worker is silent is removed", async () => {
  const { next, host } = await reportWhileOpen();
  const { task, run } = host.starts[0] ?? {};
  if (task === undefined || run === undefined)
    throw new Error("no start was ordered");
  next.engine.handleWorkerSilent(host.host, undefined, [{ task, run }]);
  await next.run(1_500, []);
  expect(stateOf(next)).toEqual("running");
});
