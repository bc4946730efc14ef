/** Order in which several suspect tasks that wait for a host get an isolated start. */

import { test } from "node:test";
import { expect } from "earl";
import type { ProgressRecord } from "@rackspan/state";
import { STARTED_PROGRESS, plainJob } from "@rackspan/standins";
import { EngineHarness, taskId } from "./engineHarness.js";

const LARGE = "5c0e7a21d94b36f8";
const LARGE_TASK = taskId(`${LARGE}.0.0.0`);
const LARGE_MS = 120_000;

/** Progress persisted by a previous leader for a job whose task has crashed a worker. */
const SUSPECT_PROGRESS: ProgressRecord = {
  ...STARTED_PROGRESS,
  crashes: [["0.0.0", [[7, "young"]]]],
};

const addSuspect = (
  site: EngineHarness,
  id: string,
  estimateMs: number,
): void => {
  const acceptedAt = site.clock.now();
  const job = plainJob({ id, steps: [{ estimateMs }], acceptedAt });
  site.engine.addJob(job, SUSPECT_PROGRESS);
};

// The order depends on how long a suspect task has waited, not on its utility alone.
test("a suspect task of low utility is not starved by a stream of suspect tasks of higher utility", async () => {
  const site = new EngineHarness();
  const host = await site.addHost("h1");
  addSuspect(site, "small", 500);
  addSuspect(site, LARGE, LARGE_MS);
  let waitedMs = 0;
  for (; waitedMs < 20_000 && !host.isRunning(LARGE_TASK); waitedMs += 300) {
    addSuspect(site, `small${waitedMs}`, 500);
    await site.run(300);
    for (const task of host.runningTasks) {
      const hasWorked = host.starts.at(-1)?.task !== task;
      if (hasWorked && task !== LARGE_TASK) host.end(task, "done");
    }
  }
  // Its grace period plus the isolated starts of the tasks that came before it.
  expect(waitedMs).toBeLessThanOrEqual(6_000);
});
