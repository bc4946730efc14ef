/** The failures of a gang's members count together, whichever member fails first. */

import { test } from "node:test";
import { expect } from "earl";
import { decodeProgress, TOPICS, type JobStateName } from "@rackspan/state";
import { EngineHarness, taskId } from "./engineHarness.js";

const JOB = "5c0e7a21d94b36f8";
const MEMBERS = [taskId(`${JOB}.0.0.0`), taskId(`${JOB}.0.0.1`)];
/** Only one member fits on a host. */
const LARGE = { milliCores: 20_000, memoryMiB: 100, accelerators: 0 };

const gangOnTwoHosts = async (): Promise<EngineHarness> => {
  const site = new EngineHarness();
  await site.addHost("h1");
  await site.addHost("h2");
  site.submit(JOB, [{ taskCount: 2, gang: true, demand: LARGE }]);
  await site.run(200);
  return site;
};

/** @param failing number of members that fail by themselves, starting with the given one */
const breakGang = async (
  site: EngineHarness,
  first: number,
  failing = 1,
): Promise<void> => {
  for (const host of site.hosts) {
    for (const task of host.runningTasks) {
      const at = (MEMBERS.indexOf(task) - first + 2) % 2;
      host.end(task, at < failing ? "failed" : "broken");
    }
  }
  await site.run(500);
};

const runCount = ({ hosts }: EngineHarness): number =>
  new Set(hosts.flatMap(({ starts }) => starts.map(({ run }) => run))).size;

const persistedState = ({ store }: EngineHarness): JobStateName | undefined => {
  const record = store.recordsOf(TOPICS.progress).at(-1);
  if (!record?.value) return undefined;
  return decodeProgress(JOB as never, record.value).state;
};

test("a gang whose members fail in turn is not started more often than its attempts allow", async () => {
  const site = await gangOnTwoHosts();
  await breakGang(site, 0);
  expect(runCount(site)).toEqual(2);
  await breakGang(site, 1);
  expect(runCount(site)).toEqual(2);
  expect(persistedState(site)).toEqual("failed");
});

test("a gang with two members that fail in one run has failed once", async () => {
  const site = await gangOnTwoHosts();
  await breakGang(site, 0, 2);
  expect(runCount(site)).toEqual(2);
  expect(persistedState(site)).toEqual("running");
});
