/** Runs that may have ended unheard of before their worker did prove nothing against their task. */

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
/** Crashes that may give a task up without proof. */
const MOST_CRASHES = 4;

type ReportedState = Pick<LostRun, "workedMs" | "wasAtWork" | "orderedMs">;

/** It was looked at all the time, and was far from its end. */
const AT_WORK: ReportedState = {
  workedMs: 90,
  wasAtWork: true,
  orderedMs: 100,
};
/** Last shown early, and due when the look at its worker broke off. */
const END_DUE: ReportedState = {
  workedMs: 90,
  wasAtWork: true,
  orderedMs: 635,
};

/** After the time for which proof waits for other workers that are lost. */
const finalStateOf = async (
  site: EngineHarness,
): Promise<string | undefined> => {
  await site.run(1_700);
  return stateOf(site);
};

/** The worker of the task ends; its side tells that of the task. */
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

test("a run that was due when the look at its worker broke off is no proof against its task", async () => {
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

// Tasks end after a third of the time that is expected of them as well.
test("a run that was lost after a third of its expected time is no proof against its task", async () => {
  const site = await createSite(3);
  site.submit(JOB, [{ estimateMs: ESTIMATE_MS }]);
  await crashWorker(site, AT_WORK);
  await crashWorker(site, { ...END_DUE, orderedMs: ESTIMATE_MS / 3 });
  expect(evidenceOf(site)).toEqual(["young", "unanswered"]);
});

test("a task whose runs had ended unheard of under two workers that ended by chance is started again", async () => {
  const site = await createSite(3);
  site.submit(JOB, [{ estimateMs: ESTIMATE_MS }]);
  await crashWorker(site, END_DUE);
  await crashWorker(site, END_DUE);
  const host = await hostOfTask(site);
  host.end(TASK, "done");
  await site.run(500);
  expect(stateOf(site)).toEqual("completed");
});

test("a task that crashes its workers when it is due is given up without proof", async () => {
  const site = await createSite(3);
  site.submit(JOB, [{ estimateMs: ESTIMATE_MS }]);
  let crashes = 0;
  while (stateOf(site) !== "failed" && crashes <= MOST_CRASHES) {
    await crashWorker(site, END_DUE);
    crashes += 1;
  }
  expect(crashes).toEqual(MOST_CRASHES);
});

test("after one crash at work two more that cannot be told give the task up", async () => {
  const site = await createSite(3);
  site.submit(JOB, [{ estimateMs: ESTIMATE_MS }]);
  await crashWorker(site, AT_WORK);
  await crashWorker(site, END_DUE);
  await hostOfTask(site);
  expect(stateOf(site)).not.toEqual("failed");
  await crashWorker(site, END_DUE);
  expect(await finalStateOf(site)).toEqual("failed");
});

test("runs beside one that began apart go free although that one may have ended", async () => {
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

test("a lasting task is at work however long ago it was ordered", async () => {
  const site = await createSite(3);
  site.submit(JOB, [{ lasting: true }]);
  await crashWorker(site, { ...END_DUE, orderedMs: 600_000 });
  await crashWorker(site, { ...END_DUE, orderedMs: 600_000 });
  expect(evidenceOf(site)).toEqual(["young", "sole"]);
  expect(await finalStateOf(site)).toEqual("failed");
});

test("a run that went on from a checkpoint may have had little left to do", async () => {
  const site = await createSite(3);
  site.submit(JOB, [{ checkpointing: true }]);
  const host = await hostOfTask(site);
  host.saveCheckpoint(TASK, "nearly done");
  await site.run(2_000);
  for (let crash = 0; crash < 3; crash += 1) await crashWorker(site, AT_WORK);
  expect(evidenceOf(site)).toEqual(["settled", "young", "unanswered"]);
  expect(await finalStateOf(site)).not.toEqual("failed");
});

/** The worker lists the run's end, and crashes before its leader takes note of that. */
const crashAfterEnd = async (site: EngineHarness): Promise<FakeHost> => {
  const host = await hostOfTask(site);
  await site.run(100);
  host.replaceWorker();
  const isOfTask = ({ task }: RunRef): boolean => task === TASK;
  host.unheardEnds = host.lostRuns.filter(isOfTask);
  host.lostRuns = host.lostRuns.filter((lost) => !isOfTask(lost));
  return host;
};

test("runs whose ends their workers had listed before they crashed speak against nothing", async () => {
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

test("a run that had ended is passed over where no other life of its worker reports", async () => {
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

test("a crash is not put down to a run that began apart and had ended", async () => {
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
