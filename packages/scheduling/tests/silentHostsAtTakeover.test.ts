/** How long a takeover waits for a silent host whose side reports when its leases expire. */

import { test } from "node:test";
import { expect } from "earl";
import { ENGINE } from "@rackspan/scheduling";
import {
  EngineHarness,
  LEASE_MS,
  LEADERSHIP_TTL_MS,
  type FakeHost,
} from "./engineHarness.js";

/** Time until the leases of the silent host expire, as reported by its side. */
const EXPIRES_IN_MS = 1_500;
/** Longer than the delay until the next scheduling cycle. */
const SOON_MS = 200;
/** Time in which a scheduling cycle starts and sends its orders. */
const NEXT_CYCLE_MS = 2 * ENGINE.minCycleIntervalMs;
/** Delays between a tick of the engine and the report of the silence, spread over its interval. */
const TICK_PHASES_MS = [0, 60, 120, 180, 240];
/** Time after which every lease that previous leaders could grant has expired. */
const ALL_EXPIRED_MS = (LEADERSHIP_TTL_MS + LEASE_MS) * 1.05;

/** Advances the clock by 1 ms less than given; the host reports until shortly before the end. */
const waitUntilJustBefore = async (
  { clock, engine }: EngineHarness,
  ms: number,
  host: FakeHost,
): Promise<void> => {
  await clock.advance(ms - ENGINE.quietMs / 2);
  engine.handleReport(host.host, host.zone, host.report());
  await clock.advance(ENGINE.quietMs / 2 - 1);
};

/** A leader that takes over while a task waits; one of its hosts reports. */
const takeOver = async (silentHosts = 1) => {
  const previous = new EngineHarness();
  const { clock, store } = previous;
  const reporting = await previous.addHost("heard");
  const silent = [];
  for (let nth = 0; nth < silentHosts; nth += 1) {
    silent.push(await previous.addHost(`silent${nth}`));
  }
  const job = previous.submit("j", [{ lasting: true }]);
  previous.isLeader = false;
  previous.engine.stop();
  const roster = previous.hosts.map(({ host }) => host);
  const next = new EngineHarness({ epoch: 2, roster, clock, store });
  next.engine.addJob(job, undefined);
  for (const host of previous.hosts) next.engine.attach(host.host, host);
  await next.run(SOON_MS, [reporting]);
  expect(reporting.starts).toEqual([]);
  return { next, reporting, silent };
};

const takeOverWithOneSilentHost = async () => {
  const { next, reporting, silent } = await takeOver();
  const [host] = silent;
  if (!host) throw new Error("no silent host");
  return { next, reporting, host };
};

/** A leader whose task runs on a host that becomes silent, with a second host that has capacity. */
const createLeaderWithSilentHost = async () => {
  const harness = new EngineHarness();
  const silent = await harness.addHost("silent");
  harness.submit("j", [{ lasting: true }]);
  await harness.run(LEASE_MS);
  const reporting = await harness.addHost("heard");
  return { harness, silent, reporting };
};

test("a task starts once the last lease sent to a silent host has expired, and not before", async () => {
  const { next, reporting, host } = await takeOverWithOneSilentHost();
  next.engine.handleWorkerSilent(host.host, EXPIRES_IN_MS);
  await next.run(EXPIRES_IN_MS - SOON_MS, [reporting]);
  expect(reporting.starts).toEqual([]);
  await next.run(2 * SOON_MS, [reporting]);
  expect(reporting.starts.length).toEqual(1);
});

test("a host whose lease has expired according to its side is removed from the roster", async () => {
  const { next, reporting, host } = await takeOverWithOneSilentHost();
  next.engine.handleWorkerSilent(host.host, EXPIRES_IN_MS);
  expect(next.roster.recordedInstance(host.host)).not.toEqual(undefined);
  await next.run(EXPIRES_IN_MS + 2 * SOON_MS, [reporting]);
  expect(next.roster.recordedInstance(host.host)).toEqual(undefined);
});

test("a takeover waits for each silent host separately", async () => {
  const { next, reporting, silent } = await takeOver(2);
  const [first, second] = silent;
  if (!first || !second) throw new Error("no silent hosts");
  next.engine.handleWorkerSilent(first.host, 0);
  await next.run(EXPIRES_IN_MS, [reporting]);
  expect(reporting.starts).toEqual([]);
  next.engine.handleWorkerSilent(second.host, 0);
  await next.run(SOON_MS, [reporting]);
  expect(reporting.starts.length).toEqual(1);
});

test("a side that does not know when its leases expire does not change the wait", async () => {
  const { next, reporting, host } = await takeOverWithOneSilentHost();
  next.engine.handleWorkerSilent(host.host, undefined);
  await next.run(LEADERSHIP_TTL_MS + LEASE_MS - 2 * SOON_MS, [reporting]);
  expect(reporting.starts).toEqual([]);
  await next.run(ALL_EXPIRED_MS - LEADERSHIP_TTL_MS - LEASE_MS + 2 * SOON_MS, [
    reporting,
  ]);
  expect(reporting.starts.length).toEqual(1);
});

test("a longer lease than previous leaders could grant does not lengthen the wait", async () => {
  const { next, reporting, host } = await takeOverWithOneSilentHost();
  next.engine.handleWorkerSilent(host.host, 3 * ALL_EXPIRED_MS);
  await next.run(ALL_EXPIRED_MS, [reporting]);
  expect(reporting.starts.length).toEqual(1);
});

test("a silence reported after the worker has reported is ignored: its run is not started again", async () => {
  const { next, reporting, host } = await takeOverWithOneSilentHost();
  await next.run(SOON_MS, [reporting, host]);
  const before = host.starts.length + reporting.starts.length;
  expect(before).toEqual(1);
  next.engine.handleWorkerSilent(host.host, 0);
  next.engine.handleWorkerSilent(reporting.host, 0);
  await next.run(LEASE_MS, [reporting, host]);
  expect(host.starts.length + reporting.starts.length).toEqual(before);
  expect(next.roster.recordedInstance(host.host)).not.toEqual(undefined);
});

test("a host that has reported only some of its ends does not count as free of leases", async () => {
  const { next, reporting, host } = await takeOverWithOneSilentHost();
  const report = { ...host.report(), hasMoreEnds: true };
  next.engine.handleReport(host.host, host.zone, report);
  next.engine.handleWorkerSilent(host.host, 0);
  await next.run(EXPIRES_IN_MS, [reporting]);
  expect(reporting.starts).toEqual([]);
});

test("a leader whose term is over does not confirm a silence", async () => {
  const { next, host } = await takeOverWithOneSilentHost();
  expect(next.engine.handleWorkerSilent(host.host, EXPIRES_IN_MS)).toEqual(
    true,
  );
  next.isLeader = false;
  expect(next.engine.handleWorkerSilent(host.host, EXPIRES_IN_MS)).toEqual(
    false,
  );
});

test("a task starts once the lease of a host that became silent has expired, and not before", async () => {
  const { harness, silent, reporting } = await createLeaderWithSilentHost();
  harness.engine.handleWorkerSilent(silent.host, EXPIRES_IN_MS);
  await harness.run(EXPIRES_IN_MS - SOON_MS, [reporting]);
  expect(reporting.starts).toEqual([]);
  await harness.run(3 * SOON_MS, [reporting]);
  expect(reporting.starts.length).toEqual(1);
});

test("an order in flight to a host delays its task although the side reports no lease", async () => {
  const harness = new EngineHarness();
  const silent = await harness.addHost("silent");
  silent.answers = "hang";
  harness.submit("j", [{ lasting: true }]);
  await harness.run(SOON_MS);
  expect(silent.starts.length).toEqual(1);
  const reporting = await harness.addHost("heard");
  harness.engine.handleWorkerSilent(silent.host, 0);
  await harness.run(ENGINE.startLeaseMs - 2 * SOON_MS, [reporting]);
  expect(reporting.starts).toEqual([]);
  await harness.run(4 * SOON_MS, [reporting]);
  expect(reporting.starts.length).toEqual(1);
});

test("a host that reports after its silence was reported keeps its runs", async () => {
  const harness = new EngineHarness();
  const host = await harness.addHost("h1");
  harness.submit("j", [{ lasting: true }]);
  await harness.run(LEASE_MS);
  harness.engine.handleWorkerSilent(host.host, SOON_MS);
  await harness.run(LEASE_MS);
  expect(host.starts.length).toEqual(1);
});

test("a worker that answers again with ends left to list is waited for despite its reported silence", async () => {
  const { next, reporting, host } = await takeOverWithOneSilentHost();
  next.engine.handleWorkerSilent(host.host, EXPIRES_IN_MS);
  next.engine.handleReport(host.host, host.zone, {
    ...host.report(),
    hasMoreEnds: true,
  });
  await next.run(EXPIRES_IN_MS + 2 * SOON_MS, [reporting]);
  expect(reporting.starts).toEqual([]);
});

test("a silence reported by a side that has detached is dropped, as its next process does not know it", async () => {
  const { next, reporting, host } = await takeOverWithOneSilentHost();
  next.engine.handleWorkerSilent(host.host, EXPIRES_IN_MS);
  next.engine.detach(host.host, host);
  await next.run(EXPIRES_IN_MS + 2 * SOON_MS, [reporting]);
  expect(reporting.starts).toEqual([]);
});

test("a silence reported by a side that has detached does not shorten its leader's grants", async () => {
  const { harness, silent, reporting } = await createLeaderWithSilentHost();
  harness.engine.handleWorkerSilent(silent.host, EXPIRES_IN_MS);
  harness.engine.detach(silent.host, silent);
  await harness.run(EXPIRES_IN_MS + 2 * SOON_MS, [reporting]);
  expect(reporting.starts).toEqual([]);
});

// A start that the previous incarnation left unanswered may bring the next one a longer lease.
test("a later lease expiry of a silent host replaces an earlier one", async () => {
  const { next, reporting, host } = await takeOverWithOneSilentHost();
  next.engine.handleWorkerSilent(host.host, SOON_MS);
  next.engine.handleWorkerSilent(host.host, EXPIRES_IN_MS);
  await next.run(2 * SOON_MS, [reporting]);
  expect(reporting.starts).toEqual([]);
  await next.run(EXPIRES_IN_MS, [reporting]);
  expect(reporting.starts.length).toEqual(1);
});

// The lease takes most of the time within which a lasting task must have a run again.
test("a lasting task of a silent host starts when its lease expires, not at a later tick", async () => {
  for (const phaseMs of TICK_PHASES_MS) {
    const { harness, silent, reporting } = await createLeaderWithSilentHost();
    await harness.clock.advance(phaseMs);
    harness.engine.handleWorkerSilent(silent.host, EXPIRES_IN_MS);
    await waitUntilJustBefore(harness, EXPIRES_IN_MS, reporting);
    expect(reporting.starts).toEqual([]);
    await harness.clock.advance(1 + NEXT_CYCLE_MS);
    expect(reporting.starts.length).toEqual(1);
  }
});

test("a takeover starts tasks when the last lease of its silent hosts expires", async () => {
  for (const phaseMs of TICK_PHASES_MS) {
    const { next, reporting, host } = await takeOverWithOneSilentHost();
    await next.clock.advance(phaseMs);
    next.engine.handleWorkerSilent(host.host, EXPIRES_IN_MS);
    await waitUntilJustBefore(next, EXPIRES_IN_MS, reporting);
    expect(reporting.starts).toEqual([]);
    await next.clock.advance(1 + NEXT_CYCLE_MS);
    expect(reporting.starts.length).toEqual(1);
  }
});

test("a lease expiry that has passed when it is reported takes effect before the next tick", async () => {
  for (const phaseMs of TICK_PHASES_MS) {
    const { harness, silent, reporting } = await createLeaderWithSilentHost();
    await harness.clock.advance(phaseMs);
    harness.engine.handleWorkerSilent(silent.host, 0);
    await harness.clock.advance(NEXT_CYCLE_MS);
    expect(reporting.starts.length).toEqual(1);
  }
});

/** Detaches the task's host while a start for a previous incarnation may still arrive. */
const detachWithPreviousStarts = async (formerStartsForMs: number) => {
  const { harness, silent, reporting } = await createLeaderWithSilentHost();
  silent.formerStartsForMs = formerStartsForMs;
  harness.reportOf(silent);
  harness.engine.detach(silent.host, silent);
  await harness.run(LEASE_MS * 1.02 + SOON_MS, [reporting]);
  return { harness, silent, reporting };
};

// The lease of such a start counts by the clock of the previous incarnation and lasts as long
// as any other from then on.
test("an unreachable host is waited for while a start for a previous incarnation may arrive", async () => {
  const without = await detachWithPreviousStarts(0);
  expect(without.reporting.starts.length).toEqual(1);
  const { harness, reporting } = await detachWithPreviousStarts(EXPIRES_IN_MS);
  expect(reporting.starts).toEqual([]);
  await harness.run(EXPIRES_IN_MS - 2 * SOON_MS, [reporting]);
  expect(reporting.starts).toEqual([]);
  await harness.run(2 * SOON_MS, [reporting]);
  expect(reporting.starts.length).toEqual(1);
});

test("the lease expiry reported by an attached side holds despite starts for a previous incarnation", async () => {
  const { harness, silent, reporting } = await createLeaderWithSilentHost();
  silent.formerStartsForMs = 2 * EXPIRES_IN_MS;
  harness.reportOf(silent);
  harness.engine.handleWorkerSilent(silent.host, EXPIRES_IN_MS);
  await harness.run(EXPIRES_IN_MS, [reporting]);
  expect(reporting.starts.length).toEqual(1);
});

// The task has been without a run for a whole lease, and capacity may be reserved for plain tasks.
test("a lasting task of a silent host does not wait again for capacity reserved for others", async () => {
  const harness = new EngineHarness();
  const silent = await harness.addHost("silent");
  const demand = { memoryMiB: 100, accelerators: 0, milliCores: 8_000 };
  harness.submit("lost", [{ lasting: true, tailTargetMs: 100, demand }]);
  await harness.run(LEASE_MS);
  expect(silent.starts.length).toEqual(1);
  const reporting = await harness.addHost("heard");
  reporting.milliCores = demand.milliCores;
  await harness.run(SOON_MS, [reporting]);
  const expiresInMs = ENGINE.lastingGraceMs + EXPIRES_IN_MS;
  harness.engine.handleWorkerSilent(silent.host, expiresInMs);
  await waitUntilJustBefore(harness, expiresInMs, reporting);
  expect(reporting.starts).toEqual([]);
  await harness.clock.advance(1 + NEXT_CYCLE_MS);
  expect(reporting.starts.length).toEqual(1);
});
