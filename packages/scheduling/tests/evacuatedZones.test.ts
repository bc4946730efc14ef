/** Nothing is started in an availability zone while it is evacuated. */

import { test } from "node:test";
import { expect } from "earl";
import { brand, type AvailabilityZone } from "@rackspan/common";
import type { StepSpec } from "@rackspan/state";
import {
  EngineHarness,
  LEASE_MS,
  LEADERSHIP_TTL_MS,
  ZONE,
  type FakeHost,
} from "./engineHarness.js";

const OTHER_ZONE = brand<AvailabilityZone>("otofuke-b");
const JOB = "5c0e7a21d94b36f8";
const WHOLE_HOST = { milliCores: 30_000, memoryMiB: 100, accelerators: 0 };

/** Two hosts in each of two zones. */
const siteOfTwoZones = async () => {
  const site = new EngineHarness();
  const first = await site.addHost("a1");
  const second = await site.addHost("a2");
  const third = await site.addHost("b1", OTHER_ZONE);
  const fourth = await site.addHost("b2", OTHER_ZONE);
  return { site, here: [first, second], there: [third, fourth] };
};

/** Number of tasks that started there; each counts once, as a stalled task is moved. */
const startsOn = (hosts: readonly FakeHost[]): number =>
  new Set(hosts.flatMap(({ starts }) => starts.map(({ task }) => task))).size;

/** A step of each kind that fits into one zone. */
const KINDS: Readonly<Record<string, Partial<StepSpec>>> = {
  plain: { taskCount: 6 },
  filling: { taskCount: 6, filling: true },
  lasting: { taskCount: 2, lasting: true, demand: WHOLE_HOST },
  gang: { taskCount: 2, gang: true, demand: WHOLE_HOST },
};

for (const [kind, step] of Object.entries(KINDS)) {
  test(`no ${kind} task starts in an evacuated zone, and all start in the other`, async () => {
    const { site, here, there } = await siteOfTwoZones();
    site.evacuatedZones.add(ZONE);
    site.submit(JOB, [step]);
    await site.run(6_000);
    expect(startsOn(here)).toEqual(0);
    expect(startsOn(there)).toEqual(step.taskCount ?? 0);
  });
}

test("work that fits nowhere else waits and starts once the evacuation is revoked", async () => {
  const { site, here, there } = await siteOfTwoZones();
  site.evacuatedZones.add(ZONE);
  site.submit(JOB, [{ taskCount: 4, gang: true, demand: WHOLE_HOST }]);
  await site.run(8_000);
  expect(startsOn([...here, ...there])).toEqual(0);
  site.evacuatedZones.delete(ZONE);
  site.engine.handleOperatorChange();
  await site.run(200);
  expect(startsOn(here)).toEqual(2);
});

test("a job that has run nothing for long is not forced into an evacuated zone", async () => {
  const { site, here, there } = await siteOfTwoZones();
  site.evacuatedZones.add(ZONE);
  site.evacuatedZones.add(OTHER_ZONE);
  site.submit(JOB, [{ taskCount: 2, filling: true }]);
  site.submit("77aa7a21d94b36f8", [{ lasting: true, demand: WHOLE_HOST }]);
  await site.run(10_000);
  expect(startsOn([...here, ...there])).toEqual(0);
});

test("runs in an evacuated zone continue there and count", async () => {
  const { site, here } = await siteOfTwoZones();
  site.submit(JOB, [{ taskCount: 4, lasting: true, demand: WHOLE_HOST }]);
  await site.run(500);
  expect(startsOn(here)).toEqual(2);
  site.evacuatedZones.add(ZONE);
  await site.run(4_000);
  expect(here.flatMap(({ stops }) => stops)).toEqual([]);
  expect(here.flatMap(({ runs }) => runs).length).toEqual(2);
});

test("a lost task of an evacuated zone starts elsewhere", async () => {
  const { site, here, there } = await siteOfTwoZones();
  site.submit(JOB, [{ taskCount: 4, demand: WHOLE_HOST }]);
  await site.run(500);
  site.evacuatedZones.add(ZONE);
  for (const host of here) host.replaceWorker();
  for (const host of there)
    for (const task of host.runningTasks) host.end(task, "done");
  await site.run(4_000);
  expect(startsOn(here)).toEqual(2);
  expect(startsOn(there)).toEqual(4);
});

test("the next leader starts nothing in the zone either, whenever its hosts attach", async () => {
  const { site, here, there } = await siteOfTwoZones();
  site.evacuatedZones.add(ZONE);
  const job = site.submit(JOB, [{ taskCount: 4, demand: WHOLE_HOST }]);
  await site.run(500);
  site.engine.stop();
  site.isLeader = false;
  const { clock, hosts, store } = site;
  const roster = hosts.map(({ host }) => host);
  const next = new EngineHarness({ clock, store, roster, epoch: 2 });
  next.evacuatedZones.add(ZONE);
  next.hosts.push(...hosts);
  next.engine.addJob(job, undefined);
  for (const host of there) next.engine.attach(host.host, host);
  await next.run(200, there);
  for (const host of here) next.engine.attach(host.host, host);
  await next.run(2_000);
  for (const host of there)
    for (const task of host.runningTasks) host.end(task, "done");
  await next.run(LEADERSHIP_TTL_MS + LEASE_MS);
  expect(startsOn(here)).toEqual(0);
  expect(startsOn(there)).toEqual(4);
});

test("an order in flight when the evacuation is requested expires before the evacuation is due", async () => {
  const { site, here } = await siteOfTwoZones();
  site.submit(JOB, [{ taskCount: 4, demand: WHOLE_HOST }]);
  await site.run(500);
  const [order] = here[0]?.starts ?? [];
  const { at } = here[0] ?? {};
  // Worker clocks run up to 2 % slow.
  const expiresInMs = 1.02 * ((order?.leaseUntil ?? 0) - (at ?? 0));
  expect(expiresInMs).toBeLessThan(5_000 - LEADERSHIP_TTL_MS);
});
