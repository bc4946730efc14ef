/** Placements in the records of a job, and for which hosts a takeover waits. */

import { test } from "node:test";
import { expect } from "earl";
import { brand, type HostId } from "@rackspan/common";
import { JobRun, restorePlacements, TakeoverGate } from "@rackspan/jobs";
import { plainJob } from "@rackspan/standins";

const H1 = brand<HostId>("h1");
const H2 = brand<HostId>("h2");

const createJob = (): JobRun =>
  new JobRun(
    plainJob({
      id: "j",
      acceptedAt: 0,
      steps: [{ taskCount: 6 }, { taskCount: 2, after: [0] }],
      repeat: { count: 2, firstAt: 0, intervalMs: 10 },
    }),
  );

const placeSome = (job: JobRun): void => {
  for (const index of [0, 1, 2, 5]) {
    const task = job.task(0, 0, index);
    if (task) task.placedOn = H1;
  }
  const next = job.task(0, 0, 3);
  if (next) next.placedOn = H2;
  const ofLater = job.task(1, 1, 1);
  if (ofLater) ofLater.placedOn = H1;
};

test("a record names each host once, with the indices of its tasks as ranges", () => {
  const job = createJob();
  placeSome(job);
  job.placementEpoch = 4;
  const { placed, placedEpoch } = job.toRecord();
  expect(placed).toEqual(["h1 0.0:0-2,5 1.1:1", "h2 0.0:3"]);
  expect(placedEpoch).toEqual(4);
});

test("a record names no host of a task that is done", () => {
  const job = createJob();
  placeSome(job);
  job.placementEpoch = 4;
  const task = job.task(0, 0, 1);
  if (task) job.recordEnd(task, 7 as never, "done", "");
  expect(job.toRecord().placed?.[0]).toEqual("h1 0.0:0,2,5 1.1:1");
});

// The next leader would treat the missing hosts as none.
test("a record has no placements while the hosts of some tasks are unknown", () => {
  const job = createJob();
  placeSome(job);
  expect("placed" in job.toRecord()).toEqual(false);
});

test("placements are restored from a record, also those of later occurrences", () => {
  const job = createJob();
  placeSome(job);
  job.placementEpoch = 4;
  const { placed } = job.toRecord();
  const restored = createJob();
  restorePlacements(restored, placed ?? []);
  restored.placementEpoch = 5;
  expect(restored.toRecord().placed).toEqual(placed);
});

const createGate = (): TakeoverGate =>
  new TakeoverGate({
    takenOverAt: 0,
    roster: [H1, H2],
    leadershipTtlMs: 2_500,
    leaseMs: 10_000,
  });

const AFTER_LEASES_MS = 13_000;

test("a task waits only for the host of its last start", () => {
  const gate = createGate();
  gate.recordReport(H1);
  expect(gate.mayStart(0, 100, { host: H1 })).toEqual(true);
  expect(gate.mayStart(0, 100, { host: undefined })).toEqual(true);
  expect(gate.mayStart(0, 100, { host: H2 })).toEqual(false);
  expect(gate.awaitedHosts(0, 100, { host: H2 })).toEqual([H2]);
  expect(gate.awaitedHosts(0, 100, { host: H1 })).toEqual([]);
  expect(gate.mayStart(0, AFTER_LEASES_MS, { host: H2 })).toEqual(true);
});

test("a task without a known placement waits for every host", () => {
  const gate = createGate();
  gate.recordReport(H1);
  expect(gate.mayStart(0, 100)).toEqual(false);
  expect(gate.awaitedHosts(0, 100)).toEqual([H2]);
  expect(gate.mayStart(0, AFTER_LEASES_MS)).toEqual(true);
});

test("a task starts once its host is known to hold no lease", () => {
  const gate = createGate();
  gate.recordSilence(H2, 500);
  expect(gate.mayStart(0, 499, { host: H2 })).toEqual(false);
  expect(gate.mayStart(0, 500, { host: H2 })).toEqual(true);
  expect(gate.mayStart(0, 500, { host: H1 })).toEqual(false);
});
