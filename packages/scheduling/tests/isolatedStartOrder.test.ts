/** Whose turn it is where several suspected tasks wait for a host to begin apart. */

import { test } from "node:test";
import { expect } from "earl";
import type { ProgressRecord } from "@rackspan/state";
import { BEGUN_PROGRESS, plainJob } from "@rackspan/standins";
import { EngineHarness, taskId } from "./engineHarness.js";

const LARGE = "5c0e7a21d94b36f8";
const LARGE_TASK = taskId(`${LARGE}.0.0.0`);
const LARGE_MS = 120_000;

/** What a former leader has kept of a job under whose task a worker has crashed. */
const SUSPECT_PROGRESS: ProgressRecord = {
  ...BEGUN_PROGRESS,
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

// Turns go by how long a suspect has waited, not by worth alone.
test("a suspected task of little worth does not wait for as long as others of more come", async () => {
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
  // Its patience, and the turns of those that had come before it.
  expect(waitedMs).toBeLessThanOrEqual(6_000);
});
