/**
 * What users would see: tasks that are done run again, and tasks are started past
 * their attempts, on a host whose ends have not been acknowledged for long.
 *
 * Order of events: the store keeps no progress for a while, so that no end is
 * acknowledged. A worker has more ends to tell than it lists at once. A task of
 * its ends then: the list of what runs does not name it any more, and the list of
 * ends does not name it yet.
 *
 * Cause: a run that neither list names was taken for one that left no trace, so
 * that its task waited again. Its end was listed, and acknowledged, after that.
 *
 * Evidence: the page of the worker, "the others come again (500 at once)", and
 * the tests below. It has not been seen on a played day.
 */

import { test } from "node:test";
import { expect } from "earl";
import type { RunOutcome } from "@rackspan/ports";
import { EngineHarness, MOST_LISTED_ENDS, taskId } from "./engineHarness.js";

const JOB = "5c0e7a21d94b36f8";
const LAST = taskId(`${JOB}.0.0.${MOST_LISTED_ENDS}`);

/** A host on which more runs have ended than it lists at once, none of them acknowledged. */
const endMoreThanAreListed = async (outcome: RunOutcome) => {
  const site = new EngineHarness();
  const host = await site.addHost("h1");
  const demand = { milliCores: 10, memoryMiB: 1, accelerators: 0 };
  site.submit(JOB, [{ taskCount: MOST_LISTED_ENDS + 1, demand }]);
  await site.run(200);
  expect(host.runningTasks.length).toEqual(MOST_LISTED_ENDS + 1);
  site.store.fault = "refuses";
  const others = host.runningTasks.filter((task) => task !== LAST);
  for (const task of others) host.end(task, "done");
  host.end(LAST, outcome);
  await site.run(500);
  return { site, host };
};

test("a run is not given up while the worker has more ends to tell", async () => {
  const { site, host } = await endMoreThanAreListed("done");
  site.store.fault = "none";
  await site.run(500);
  const starts = host.starts.filter(({ task }) => task === LAST);
  expect(starts.length).toEqual(1);
  expect(host.acknowledged).toEqual(MOST_LISTED_ENDS + 1);
});

test("a failure that the worker has not told yet counts before the next start", async () => {
  const { site, host } = await endMoreThanAreListed("failed");
  expect(host.isRunning(LAST)).toEqual(false);
  site.store.fault = "none";
  await site.run(500);
  expect(host.isRunning(LAST)).toEqual(true);
  host.end(LAST, "failed");
  await site.run(500);
  const starts = host.starts.filter(({ task }) => task === LAST);
  expect(starts.length).toEqual(2);
});
