/** How long a take-over waits for a host whose side tells when its leases are over. */

import { test } from "node:test";
import { expect } from "earl";
import { ENGINE } from "@rackspan/scheduling";
import {
  EngineHarness,
  LEASE_MS,
  LEADERSHIP_TTL_MS,
  type FakeHost,
} from "./engineHarness.js";

/** Until the leases of the silent host are over, as its side tells. */
const EXPIRES_IN_MS = 1_500;
/** Longer than a pass over the waiting work takes to begin. */
const SOON_MS = 200;
/** A pass begins, and its orders are given. */
const NEXT_CYCLE_MS = 2 * ENGINE.minCycleIntervalMs;
/** When the silence is told, after a tick of the engine: all over its interval. */
const TICK_PHASES_MS = [0, 60, 120, 180, 240];
/** Every lease that former leaders could grant is over. */
const ALL_EXPIRED_MS = (LEADERSHIP_TTL_MS + LEASE_MS) * 1.05;

/** Lets all but the last of these milliseconds pass; the host reports until shortly before. */
const waitUntilJustBefore = async (
  { clock, engine }: EngineHarness,
  ms: number,
  host: FakeHost,
): Promise<void> => {
  await clock.advance(ms - ENGINE.quietMs / 2);
  engine.handleReport(host.host, host.zone, host.report());
  await clock.advance(ENGINE.quietMs / 2 - 1);
};

/** A leader that takes over while a task waits, with hosts of which one reports. */
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

/** A leader that goes on while the host of its task falls silent, beside one with room. */
const createLeaderWithSilentHost = async () => {
  const harness = new EngineHarness();
  const silent = await harness.addHost("silent");
  harness.submit("j", [{ lasting: true }]);
  await harness.run(LEASE_MS);
  const reporting = await harness.addHost("heard");
  return { harness, silent, reporting };
};

test("a task starts once the lease that its silent host was sent last is over, and not before", async () => {
  const { next, reporting, host } = await takeOverWithOneSilentHost();
  next.engine.handleWorkerSilent(host.host, EXPIRES_IN_MS);
  await next.run(EXPIRES_IN_MS - SOON_MS, [reporting]);
  expect(reporting.starts).toEqual([]);
  await next.run(2 * SOON_MS, [reporting]);
  expect(reporting.starts.length).toEqual(1);
});

test("a host whose lease is over by its side's word leaves the roster", async () => {
  const { next, reporting, host } = await takeOverWithOneSilentHost();
  next.engine.handleWorkerSilent(host.host, EXPIRES_IN_MS);
  expect(next.roster.recordedInstance(host.host)).not.toEqual(undefined);
  await next.run(EXPIRES_IN_MS + 2 * SOON_MS, [reporting]);
  expect(next.roster.recordedInstance(host.host)).toEqual(undefined);
});

test("a take-over waits for each silent host by itself", async () => {
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

test("a side that cannot tell when its leases are over leaves the wait as it is", async () => {
  const { next, reporting, host } = await takeOverWithOneSilentHost();
  next.engine.handleWorkerSilent(host.host, undefined);
  await next.run(LEADERSHIP_TTL_MS + LEASE_MS - 2 * SOON_MS, [reporting]);
  expect(reporting.starts).toEqual([]);
  await next.run(ALL_EXPIRED_MS - LEADERSHIP_TTL_MS - LEASE_MS + 2 * SOON_MS, [
    reporting,
  ]);
  expect(reporting.starts.length).toEqual(1);
});

test("a longer lease than former leaders could grant does not lengthen the wait", async () => {
  const { next, reporting, host } = await takeOverWithOneSilentHost();
  next.engine.handleWorkerSilent(host.host, 3 * ALL_EXPIRED_MS);
  await next.run(ALL_EXPIRED_MS, [reporting]);
  expect(reporting.starts.length).toEqual(1);
});

test("the word that a worker is silent comes too late once it has reported: its run is not started again", async () => {
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

test("a host that has reported some of its ends is not taken for one whose leases are over", async () => {
  const { next, reporting, host } = await takeOverWithOneSilentHost();
  const report = { ...host.report(), hasMoreEnds: true };
  next.engine.handleReport(host.host, host.zone, report);
  next.engine.handleWorkerSilent(host.host, 0);
  await next.run(EXPIRES_IN_MS, [reporting]);
  expect(reporting.starts).toEqual([]);
});

test("a leader whose term is over says that it grants nothing", async () => {
  const { next, host } = await takeOverWithOneSilentHost();
  expect(next.engine.handleWorkerSilent(host.host, EXPIRES_IN_MS)).toEqual(
    true,
  );
  next.isLeader = false;
  expect(next.engine.handleWorkerSilent(host.host, EXPIRES_IN_MS)).toEqual(
    false,
  );
});

test("a task starts once the lease of a host is over that fell silent under its leader, and not before", async () => {
  const { harness, silent, reporting } = await createLeaderWithSilentHost();
  harness.engine.handleWorkerSilent(silent.host, EXPIRES_IN_MS);
  await harness.run(EXPIRES_IN_MS - SOON_MS, [reporting]);
  expect(reporting.starts).toEqual([]);
  await harness.run(3 * SOON_MS, [reporting]);
  expect(reporting.starts.length).toEqual(1);
});

test("an order on its way to a host is waited for although its side tells of no lease", async () => {
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

test("a host that reports after its side told of its silence keeps its runs", async () => {
  const harness = new EngineHarness();
  const host = await harness.addHost("h1");
  harness.submit("j", [{ lasting: true }]);
  await harness.run(LEASE_MS);
  harness.engine.handleWorkerSilent(host.host, SOON_MS);
  await harness.run(LEASE_MS);
  expect(host.starts.length).toEqual(1);
});

test("a worker that answers after the word of its silence, with ends left to list, is waited for", async () => {
  const { next, reporting, host } = await takeOverWithOneSilentHost();
  next.engine.handleWorkerSilent(host.host, EXPIRES_IN_MS);
  next.engine.handleReport(host.host, host.zone, {
    ...host.report(),
    hasMoreEnds: true,
  });
  await next.run(EXPIRES_IN_MS + 2 * SOON_MS, [reporting]);
  expect(reporting.starts).toEqual([]);
});

test("the word of a side that has detached holds no more: another process of it knows nothing of it", async () => {
  const { next, reporting, host } = await takeOverWithOneSilentHost();
  next.engine.handleWorkerSilent(host.host, EXPIRES_IN_MS);
  next.engine.detach(host.host, host);
  await next.run(EXPIRES_IN_MS + 2 * SOON_MS, [reporting]);
  expect(reporting.starts).toEqual([]);
});

test("the word of a side that has detached shortens no grant of its leader", async () => {
  const { harness, silent, reporting } = await createLeaderWithSilentHost();
  harness.engine.handleWorkerSilent(silent.host, EXPIRES_IN_MS);
  harness.engine.detach(silent.host, silent);
  await harness.run(EXPIRES_IN_MS + 2 * SOON_MS, [reporting]);
  expect(reporting.starts).toEqual([]);
});

// A start that the life before left unanswered may bring the next one a longer lease.
test("a longer word of a silent host takes the place of a shorter one", async () => {
  const { next, reporting, host } = await takeOverWithOneSilentHost();
  next.engine.handleWorkerSilent(host.host, SOON_MS);
  next.engine.handleWorkerSilent(host.host, EXPIRES_IN_MS);
  await next.run(2 * SOON_MS, [reporting]);
  expect(reporting.starts).toEqual([]);
  await next.run(EXPIRES_IN_MS, [reporting]);
  expect(reporting.starts.length).toEqual(1);
});

// Its lease takes most of the time within which a lasting task is to have a run again.
test("a lasting task of a silent host starts as its lease ends, not with a later tick", async () => {
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

test("a take-over starts tasks as the last lease of its silent hosts ends", async () => {
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

test("a bound that is over as it is told is not waited for until the next tick", async () => {
  for (const phaseMs of TICK_PHASES_MS) {
    const { harness, silent, reporting } = await createLeaderWithSilentHost();
    await harness.clock.advance(phaseMs);
    harness.engine.handleWorkerSilent(silent.host, 0);
    await harness.clock.advance(NEXT_CYCLE_MS);
    expect(reporting.starts.length).toEqual(1);
  }
});

/** The connection of the task's host is lost, where a former life may have left a start. */
const detachWithPreviousStarts = async (formerStartsForMs: number) => {
  const { harness, silent, reporting } = await createLeaderWithSilentHost();
  silent.formerStartsForMs = formerStartsForMs;
  harness.reportOf(silent);
  harness.engine.detach(silent.host, silent);
  await harness.run(LEASE_MS * 1.02 + SOON_MS, [reporting]);
  return { harness, silent, reporting };
};

// Its lease is by the clock of the former life, and lasts as long as any from there.
test("a host that cannot be reached is waited for while a start of a former life may come", async () => {
  const without = await detachWithPreviousStarts(0);
  expect(without.reporting.starts.length).toEqual(1);
  const { harness, reporting } = await detachWithPreviousStarts(EXPIRES_IN_MS);
  expect(reporting.starts).toEqual([]);
  await harness.run(EXPIRES_IN_MS - 2 * SOON_MS, [reporting]);
  expect(reporting.starts).toEqual([]);
  await harness.run(2 * SOON_MS, [reporting]);
  expect(reporting.starts.length).toEqual(1);
});

test("a silent host whose side is attached is waited for by its word beside starts of a former life", async () => {
  const { harness, silent, reporting } = await createLeaderWithSilentHost();
  silent.formerStartsForMs = 2 * EXPIRES_IN_MS;
  harness.reportOf(silent);
  harness.engine.handleWorkerSilent(silent.host, EXPIRES_IN_MS);
  await harness.run(EXPIRES_IN_MS, [reporting]);
  expect(reporting.starts.length).toEqual(1);
});

// It has been without a run for a whole lease, and room may be kept for plain tasks.
test("a lasting task of a silent host does not wait again for room that is kept for others", async () => {
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
