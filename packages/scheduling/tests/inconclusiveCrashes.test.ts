/** Runs that may have ended unreported before their worker did are no proof against their task. */

import { test } from "node:test";
import { expect } from "earl";
import type { RunRef } from "@rackspan/ports";
import type { LostRun } from "@rackspan/protocol";
import {
  evidenceOf,
  hostOfTask,
  JOB,
  createSite,
  stateOf,
  TASK,
} from "./singleJobSite.js";
import type { EngineHarness, FakeHost } from "./engineHarness.js";

const OTHER = "77aa7a21d94b36f8";
const ESTIMATE_MS = 500;
/** Number of crashes after which a task fails permanently without proof. */
const MOST_CRASHES = 4;

type ReportedState = Pick<LostRun, "workedMs" | "wasAtWork" | "orderedMs">;

/** The run was polled until the crash and was far from its expected end. */
const AT_WORK: ReportedState = {
  workedMs: 90,
  wasAtWork: true,
  orderedMs: 100,
};
/** The run was last reported early, and its end was due when the poll of its worker broke off. */
const END_DUE: ReportedState = {
  workedMs: 90,
  wasAtWork: true,
  orderedMs: 635,
};

/** State of the job after the time in which other worker losses make proof doubtful. */
const finalStateOf = async (
  site: EngineHarness,
): Promise<string | undefined> => {
  await site.run(1_700);
  return stateOf(site);
};

/** Ends the worker of the task; its side reports the given state of the task's run. */
const crashWorker = async (
  site: EngineHarness,
  state: ReportedState,
): Promise<void> => {
  const host = await hostOfTask(site);
  await site.run(100);
  host.replaceWorker();
  host.lostRuns = host.lostRuns.map((lost) =>
    lost.task === TASK ? { ...lost, ...state } : lost,
  );
  await site.run(100);
};

test("a run whose end was due when the poll of its worker broke off is no proof against its task", async () => {
  const site = await createSite(3);
  site.submit(JOB, [{ estimateMs: ESTIMATE_MS }]);
  await crashWorker(site, AT_WORK);
  await crashWorker(site, END_DUE);
  expect(evidenceOf(site)).toEqual(["young", "unanswered"]);
  const host = await hostOfTask(site);
  host.end(TASK, "done");
  await site.run(500);
  expect(stateOf(site)).toEqual("completed");
});

// Some tasks end after a third of their expected duration.
test("a run that was lost after a third of its expected duration is no proof against its task", async () => {
  const site = await createSite(3);
  site.submit(JOB, [{ estimateMs: ESTIMATE_MS }]);
  await crashWorker(site, AT_WORK);
  await crashWorker(site, { ...END_DUE, orderedMs: ESTIMATE_MS / 3 });
  expect(evidenceOf(site)).toEqual(["young", "unanswered"]);
});

test("a task whose runs ended unreported on two workers that ended independently is started again", async () => {
  const site = await createSite(3);
  site.submit(JOB, [{ estimateMs: ESTIMATE_MS }]);
  await crashWorker(site, END_DUE);
  await crashWorker(site, END_DUE);
  const host = await hostOfTask(site);
  host.end(TASK, "done");
  await site.run(500);
  expect(stateOf(site)).toEqual("completed");
});

test("a task that crashes its workers when its end is due fails permanently without proof", async () => {
  const site = await createSite(3);
  site.submit(JOB, [{ estimateMs: ESTIMATE_MS }]);
  let crashes = 0;
  while (stateOf(site) !== "failed" && crashes <= MOST_CRASHES) {
    await crashWorker(site, END_DUE);
    crashes += 1;
  }
  expect(crashes).toEqual(MOST_CRASHES);
});

test("a task fails permanently after one crash at work and two inconclusive ones", async () => {
  const site = await createSite(3);
  site.submit(JOB, [{ estimateMs: ESTIMATE_MS }]);
  await crashWorker(site, AT_WORK);
  await crashWorker(site, END_DUE);
  await hostOfTask(site);
  expect(stateOf(site)).not.toEqual("failed");
  await crashWorker(site, END_DUE);
  expect(await finalStateOf(site)).toEqual("failed");
});

test("runs beside an isolated one get no evidence although the isolated one may have ended", async () => {
  const site = await createSite(3);
  site.submit(OTHER, [{ lasting: true, taskCount: 3, maxPerHost: 1 }]);
  await site.run(1_000);
  site.submit(JOB, [{ estimateMs: ESTIMATE_MS }]);
  await crashWorker(site, AT_WORK);
  expect(evidenceOf(site, OTHER)).toEqual(["settled"]);
  await crashWorker(site, END_DUE);
  expect(evidenceOf(site)).toEqual(["young", "unanswered"]);
  expect(evidenceOf(site, OTHER)).toEqual(["settled"]);
});

test("a lasting task counts as at work however long ago it was ordered", async () => {
  const site = await createSite(3);
  site.submit(JOB, [{ lasting: true }]);
  await crashWorker(site, { ...END_DUE, orderedMs: 600_000 });
  await crashWorker(site, { ...END_DUE, orderedMs: 600_000 });
  expect(evidenceOf(site)).toEqual(["young", "sole"]);
  expect(await finalStateOf(site)).toEqual("failed");
});

test("a run that resumed from a checkpoint is no proof, as it may have had little left to do", async () => {
  const site = await createSite(3);
  site.submit(JOB, [{ checkpointing: true }]);
  const host = await hostOfTask(site);
  host.saveCheckpoint(TASK, "nearly done");
  await site.run(2_000);
  for (let crash = 0; crash < 3; crash += 1) await crashWorker(site, AT_WORK);
  expect(evidenceOf(site)).toEqual(["settled", "young", "unanswered"]);
  expect(await finalStateOf(site)).not.toEqual("failed");
});

/** The worker lists the run's end and crashes before the leader processes it. */
const crashAfterEnd = async (site: EngineHarness): Promise<FakeHost> => {
  const host = await hostOfTask(site);
  await site.run(100);
  host.replaceWorker();
  const isOfTask = ({ task }: RunRef): boolean => task === TASK;
  host.unheardEnds = host.lostRuns.filter(isOfTask);
  host.lostRuns = host.lostRuns.filter((lost) => !isOfTask(lost));
  return host;
};

test("runs whose ends their workers had listed before the crash are no evidence", async () => {
  const site = await createSite(3);
  site.submit(JOB, [{ estimateMs: ESTIMATE_MS }]);
  for (let end = 0; end <= MOST_CRASHES; end += 1) {
    await crashAfterEnd(site);
    await site.run(100);
  }
  expect(evidenceOf(site)).toEqual([]);
  const host = await hostOfTask(site);
  host.end(TASK, "done");
  await site.run(500);
  expect(stateOf(site)).toEqual("completed");
});

test("a run that had ended is ignored if no other incarnation of its worker reports", async () => {
  const site = await createSite(3);
  site.submit(JOB, [{ estimateMs: ESTIMATE_MS }]);
  const host = await hostOfTask(site);
  const { instance } = host;
  await crashAfterEnd(site);
  const { unheardEnds } = host;
  void site.engine.handleWorkerGone(host.host, instance, [], unheardEnds);
  await site.run(100, []);
  expect(evidenceOf(site)).toEqual([]);
});

test("a crash is not attributed to an isolated run that had ended", async () => {
  const site = await createSite(3);
  site.submit(OTHER, [{ lasting: true, taskCount: 3, maxPerHost: 1 }]);
  await site.run(1_000);
  site.submit(JOB, [{ estimateMs: ESTIMATE_MS }]);
  await crashWorker(site, AT_WORK);
  expect(evidenceOf(site, OTHER)).toEqual(["settled"]);
  await crashAfterEnd(site);
  await site.run(100);
  expect(evidenceOf(site)).toEqual(["young"]);
  expect(evidenceOf(site, OTHER)).toEqual(["settled", "settled"]);
});
