/** The checkpoint from which the members of a gang resume. */

import { test } from "node:test";
import { expect } from "earl";
import { STARTED_PROGRESS } from "@rackspan/standins";
import { EngineHarness, type FakeHost } from "./engineHarness.js";

const JOB = "5c0e7a21d94b36f8";

/** Checkpoint of the second start on each host. */
const secondCheckpoints = (hosts: readonly FakeHost[]): readonly string[] =>
  hosts.flatMap(({ starts }) =>
    starts.slice(1).map(({ checkpoint }) => checkpoint),
  );

// The newest checkpoint may belong to a member whose worker did not crash.
test("all members of a gang resume from the newest checkpoint of any of them", async () => {
  const site = new EngineHarness();
  const hosts = [await site.addHost("h1"), await site.addHost("h2")];
  site.submit(JOB, [
    { taskCount: 2, gang: true, checkpointing: true, maxPerHost: 1 },
  ]);
  await site.run(200);
  for (const host of hosts) {
    for (const task of host.runningTasks) host.saveCheckpoint(task, "older");
  }
  await site.run(200);
  const [lost, other] = hosts as [FakeHost, FakeHost];
  const [left] = other.runningTasks;
  if (!left) throw new Error("the second member does not run");
  other.saveCheckpoint(left, "newer");
  site.reportOf(other);
  lost.replaceWorker();
  other.end(left, "broken");
  await site.run(200);
  expect(secondCheckpoints(hosts)).toEqual(["newer", "newer"]);
});

// The same after a change of leader: the store has a separate checkpoint for each member.
test("a new leader starts all members of a gang from the same checkpoint", async () => {
  const site = new EngineHarness();
  const hosts = [await site.addHost("h1"), await site.addHost("h2")];
  const job = site.submit(JOB, [
    { taskCount: 2, gang: true, checkpointing: true, maxPerHost: 1 },
  ]);
  site.engine.forgetJob(job.spec.id);
  site.engine.addJob(job, {
    ...STARTED_PROGRESS,
    checkpoints: [["0.0.1", "only"]],
  });
  await site.run(200);
  const starts = hosts.flatMap((host) => host.starts);
  expect(starts.map(({ checkpoint }) => checkpoint)).toEqual(["only", "only"]);
});
