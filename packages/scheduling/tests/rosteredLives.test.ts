/** Which ends of workers prove to a new leader that nothing is hidden on a host. */

import { test } from "node:test";
import { expect } from "earl";
import {
  brand,
  type HostId,
  type JobTaskId,
  type WorkerInstance,
} from "@rackspan/common";
import { EngineHarness, LEASE_MS, TTL_MS } from "./engineHarness.js";

const GONE = brand<HostId>("gone");
const PAST_LEASES_MS = (TTL_MS + LEASE_MS) * 1.1;

/** A new leader with a host that is heard, one that is not, and a job from before. */
const takeOver = async () => {
  const former = new EngineHarness();
  const job = former.submit("j", [{}]);
  former.engine.stop();
  const { clock } = former;
  const next = new EngineHarness({ epoch: 2, roster: [GONE], clock });
  next.engine.addJob(job, undefined);
  const heard = await next.addHost("heard");
  return { next, heard };
};

test("the end of a life that the roster does not name lets a new leader wait on", async () => {
  const { next, heard } = await takeOver();
  next.engine.noteWorkerGone(GONE, brand<WorkerInstance>("gone-0"));
  await next.run(TTL_MS);
  expect(heard.starts.length).toEqual(0);
});

test("the end of the life that the roster names takes the host off it", async () => {
  const { next, heard } = await takeOver();
  next.engine.noteWorkerGone(GONE, brand<WorkerInstance>("gone-1"));
  await next.run(200);
  expect(heard.starts.length).toEqual(1);
  expect(next.roster.instanceOf(GONE)).toEqual(undefined);
});

test("a host that never reports leaves the roster with its last lease", async () => {
  const { next, heard } = await takeOver();
  await next.run(TTL_MS + LEASE_MS - 100);
  expect(next.roster.instanceOf(GONE)).not.toEqual(undefined);
  await next.run(PAST_LEASES_MS - (TTL_MS + LEASE_MS));
  expect(heard.starts.length).toEqual(1);
  expect(next.roster.instanceOf(GONE)).toEqual(undefined);
});

test("the next life of a worker gets no lease before the store names it", async () => {
  const harness = new EngineHarness();
  const host = await harness.addHost("h1");
  harness.roster.isKept = false;
  host.replaceWorker();
  harness.reportOf(host);
  harness.submit("j", [{}]);
  await harness.run(300);
  expect(harness.reportOf(host).leaseUntil).toEqual(undefined);
  expect(host.runs.map(({ task }): JobTaskId => task)).toEqual([]);
});
