/** Ends of runs that are reported while a later run of their task is active. */

import { test } from "node:test";
import { expect } from "earl";
import { brand, type AvailabilityZone } from "@rackspan/common";
import { EngineHarness, LEASE_MS, taskId } from "./engineHarness.js";

const JOB = "5c0e7a21d94b36f8";
const TASK = taskId(`${JOB}.0.0.0`);
const ZONE = brand<AvailabilityZone>("obihiro-a");

// The checkpoint of an earlier run is not the newest one of its task.
test("the end of an earlier run does not replace the checkpoint of a later one", async () => {
  const site = new EngineHarness();
  const first = await site.addHost("h1");
  site.submit(JOB, [{ checkpointing: true }]);
  await site.run(200);
  const [earlier] = first.starts;
  if (!earlier) throw new Error("the task was not started");
  await site.run(LEASE_MS + 500, []);
  const second = await site.addHost("h2");
  await site.run(200, [second]);
  expect(second.isRunning(TASK)).toEqual(true);
  second.saveCheckpoint(TASK, "newer");
  await site.run(200, [second]);
  site.engine.handleReport(first.host, ZONE, {
    ...first.report(),
    running: [],
    ended: [
      {
        number: 1,
        task: TASK,
        run: earlier.run,
        outcome: "failed",
        checkpoint: "older",
      },
    ],
  });
  second.replaceWorker();
  site.reportOf(second);
  await site.clock.advance(50);
  const starts = [...first.starts.slice(1), ...second.starts.slice(1)];
  expect(starts.map(({ checkpoint }) => checkpoint)).toEqual(["newer"]);
});
