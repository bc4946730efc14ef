/** Which deregistrations prove to a new leader that no unknown run is left on a host. */

import { test } from "node:test";
import { expect } from "earl";
import {
  brand,
  type HostId,
  type JobTaskId,
  type WorkerInstance,
} from "@rackspan/common";
import {
  EngineHarness,
  FakeHost,
  LEASE_MS,
  LEADERSHIP_TTL_MS,
} from "./engineHarness.js";

const GONE = brand<HostId>("gone");
const PAST_LEASES_MS = (LEADERSHIP_TTL_MS + LEASE_MS) * 1.1;

/** A new leader with a host that reports, one that does not, and a previous leader's job. */
const takeOver = async () => {
  const previous = new EngineHarness();
  const job = previous.submit("j", [{}]);
  previous.engine.stop();
  const { clock } = previous;
  const next = new EngineHarness({ epoch: 2, roster: [GONE], clock });
  next.engine.addJob(job, undefined);
  const reporting = await next.addHost("heard");
  return { next, reporting };
};

test("a new leader keeps waiting if an incarnation ends that is not in the roster", async () => {
  const { next, reporting } = await takeOver();
  next.engine.handleWorkerGone(GONE, brand<WorkerInstance>("gone-0"));
  await next.run(LEADERSHIP_TTL_MS);
  expect(reporting.starts.length).toEqual(0);
});

test("the end of the incarnation in the roster removes the host from it", async () => {
  const { next, reporting } = await takeOver();
  next.engine.handleWorkerGone(GONE, brand<WorkerInstance>("gone-1"));
  await next.run(200);
  expect(reporting.starts.length).toEqual(1);
  expect(next.roster.recordedInstance(GONE)).toEqual(undefined);
});

test("a host that never reports is removed from the roster when its last lease expires", async () => {
  const { next, reporting } = await takeOver();
  await next.run(LEADERSHIP_TTL_MS + LEASE_MS - 100);
  expect(next.roster.recordedInstance(GONE)).not.toEqual(undefined);
  await next.run(PAST_LEASES_MS - (LEADERSHIP_TTL_MS + LEASE_MS));
  expect(reporting.starts.length).toEqual(1);
  expect(next.roster.recordedInstance(GONE)).toEqual(undefined);
});

test("the next incarnation of a worker gets no lease before it is in the stored roster", async () => {
  const harness = new EngineHarness();
  const host = await harness.addHost("h1");
  harness.roster.isStoreAvailable = false;
  host.replaceWorker();
  harness.reportOf(host);
  harness.submit("j", [{}]);
  await harness.run(300);
  expect(harness.reportOf(host).leaseUntil).toEqual(undefined);
  expect(host.runs.map(({ task }): JobTaskId => task)).toEqual([]);
});

// A release that identified incarnations by the id alone has written the roster. Its record
// matches no incarnation that is identified by its start time as well.
test("a roster record with the id alone proves no end, and the first report replaces it", async () => {
  const { next } = await takeOver();
  const full = brand<WorkerInstance>("gone-1/1774000000000");
  await next.engine.handleWorkerGone(GONE, full);
  expect(next.roster.recordedInstance(GONE)).toEqual(
    brand<WorkerInstance>("gone-1"),
  );
  const host = new FakeHost(GONE, next.clock, full);
  next.engine.attach(GONE, host);
  next.reportOf(host);
  await next.clock.advance(1);
  expect(next.roster.recordedInstance(GONE)).toEqual(full);
  expect(next.reportOf(host).leaseUntil).not.toEqual(undefined);
});
