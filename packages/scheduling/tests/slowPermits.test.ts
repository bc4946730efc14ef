/**
 * Guards against tickets that expire before they can be used, so that the permit service is
 * asked the same question for good and nothing starts beside idle hosts.
 */

import { test } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { ManualClock, sleep, type Clock } from "@rackspan/common";
import type { AppendRequest } from "@rackspan/ports";
import { MemoryStore } from "@rackspan/standins";
import { EngineHarness, taskId, type FakeHost } from "./engineHarness.js";
import { TimedPermits, type PermitTimes } from "./TimedPermits.js";

const RUN_MS = 500;
const WHOLE_HOST = { milliCores: 32_000, memoryMiB: 100, accelerators: 0 };

/** A store that takes a while for each append. */
class SlowStore extends MemoryStore {
  constructor(
    private readonly slowClock: Clock,
    private readonly appendMs: number,
  ) {
    super(slowClock);
  }

  override async append(req: AppendRequest): Promise<number> {
    await sleep(this.slowClock, this.appendMs);
    return super.append(req);
  }
}

interface SiteOptions {
  readonly times: PermitTimes;
  readonly hosts?: number;
  readonly appendMs?: number;
  readonly recordsPlacements?: boolean;
}

interface Site {
  readonly clock: ManualClock;
  readonly permits: TimedPermits;
  readonly harness: EngineHarness;
}

const createSite = async ({
  times,
  hosts = 3,
  appendMs = 4,
  recordsPlacements = true,
}: SiteOptions): Promise<Site> => {
  const clock = new ManualClock();
  const permits = new TimedPermits(clock, times);
  const harness = new EngineHarness({
    clock,
    permits,
    permitRule: times,
    store: new SlowStore(clock, appendMs),
    policy: { recordsPlacements },
    placementsSince: 0,
  });
  const site = { clock, permits, harness };
  for (let nth = 1; nth <= hosts; nth += 1)
    checkTickets(await harness.addHost(`h${nth}`), permits);
  return site;
};

const checkTickets = (host: FakeHost, permits: TimedPermits): void => {
  host.accepts = (call) => permits.accepts(call);
};

const startedTasks = (hosts: readonly FakeHost[]): Set<string> =>
  new Set(hosts.flatMap(({ startedTasks: tasks }) => [...tasks]));

/** Lets each task end after it has run for a while, until so many have started. */
const runUntilStarted = async (
  { harness, clock }: Site,
  count: number,
  maxMs: number,
): Promise<number> => {
  const end = clock.monotonic() + maxMs;
  while (clock.monotonic() < end) {
    if (startedTasks(harness.hosts).size >= count) break;
    await harness.run(RUN_MS);
    for (const host of harness.hosts)
      for (const task of host.runningTasks) host.end(task, "done");
  }
  return startedTasks(harness.hosts).size;
};

test("six steps whose requests take longer together than tickets are valid all start", async () => {
  const times = { decideMs: 700, eachMs: 100, validMs: 3_000 };
  const site = await createSite({ times, hosts: 11 });
  for (let nth = 0; nth < 6; nth += 1) {
    site.harness.submit(`j${nth}`, [{ taskCount: 4 }]);
    await site.harness.run(360);
  }
  // Six requests of 1.8 s each, with as much again for all else.
  expect(await runUntilStarted(site, 24, 22_000)).toEqual(24);
  expect(site.permits.badTickets).toEqual(0);
});

test("the tickets of one request that takes longer than they are valid are used", async () => {
  const times = { decideMs: 4_000, eachMs: 0, validMs: 1_000 };
  const site = await createSite({ times });
  site.harness.submit("j", [{ taskCount: 2 }]);
  expect(await runUntilStarted(site, 2, 6_000)).toEqual(2);
  expect(site.permits.requests.length).toEqual(1);
});

test("tickets that expire while a placement is recorded are replaced, and used on arrival", async () => {
  const times = { decideMs: 20, eachMs: 0, validMs: 100 };
  const site = await createSite({ times, appendMs: 400 });
  site.harness.submit("j", [{ taskCount: 2 }]);
  expect(await runUntilStarted(site, 2, 5_000)).toEqual(2);
});

test("a gang whose tickets expire while its placement is recorded starts as a whole", async () => {
  const times = { decideMs: 20, eachMs: 0, validMs: 100 };
  const site = await createSite({ times, appendMs: 400 });
  site.harness.submit("g", [{ taskCount: 3, gang: true, demand: WHOLE_HOST }]);
  await site.harness.run(3_000);
  const runs = site.harness.hosts.flatMap(({ runs: each }) => [...each]);
  expect(runs.length).toEqual(3);
  expect(new Set(runs.map(({ run }) => run)).size).toEqual(1);
});

test("a step that waited for a host until its tickets expired takes the host before later ones", async () => {
  const times = { decideMs: 300, eachMs: 0, validMs: 200 };
  const site = await createSite({ times, hosts: 1 });
  const { harness } = site;
  const [host] = harness.hosts as [FakeHost];
  harness.submit("first", [{ demand: WHOLE_HOST }]);
  await harness.run(1_000);
  for (const id of ["second", "third"]) {
    harness.submit(id, [{ demand: WHOLE_HOST }]);
    await harness.run(1_000);
  }
  expect([...host.startedTasks]).toEqual([taskId("first.0.0.0")]);
  for (const id of ["first", "second"]) {
    host.end(taskId(`${id}.0.0.0`), "done");
    await harness.run(2_000);
  }
  expect([...host.startedTasks]).toEqual(
    ["first", "second", "third"].map((id) => taskId(`${id}.0.0.0`)),
  );
});

test("a service that answers later than its rule states is waited for", async () => {
  const times = { decideMs: 100, eachMs: 0, validMs: 1_000, lateMs: 9_000 };
  const site = await createSite({ times });
  site.harness.submit("j", [{}]);
  expect(await runUntilStarted(site, 1, 60_000)).toEqual(1);
});

test("steps whose requests are refused are asked for again, in turn", async () => {
  const times = { decideMs: 200, eachMs: 0, validMs: 500, refusals: 20 };
  const site = await createSite({ times });
  for (let nth = 0; nth < 5; nth += 1) site.harness.submit(`j${nth}`, [{}]);
  expect(await runUntilStarted(site, 5, 20_000)).toEqual(5);
});

test("a service that fails keeps no host occupied", async () => {
  const times = { decideMs: 300, eachMs: 0, validMs: 200 };
  const site = await createSite({ times, hosts: 1 });
  const { harness, permits } = site;
  const [host] = harness.hosts as [FakeHost];
  harness.submit("first", [{ demand: WHOLE_HOST }]);
  harness.submit("second", [{ demand: WHOLE_HOST }]);
  await harness.run(2_000);
  permits.isFailing = true;
  host.end(taskId("first.0.0.0"), "done");
  await harness.run(2_000);
  expect(await harness.metrics.total("placements_unsent")).toEqual(1);
  permits.isFailing = false;
  await harness.run(3_000);
  expect([...host.startedTasks].length).toEqual(2);
});

test("a new leader of the same process gets permits while a request of the last one stands", async () => {
  const times = { decideMs: 3_000, eachMs: 0, validMs: 500 };
  const site = await createSite({ times });
  const { harness, permits, clock } = site;
  const job = harness.submit("j", [{}]);
  await harness.run(500);
  harness.isLeader = false;
  harness.engine.stop();
  const next = new EngineHarness({
    clock,
    permits,
    permitRule: times,
    epoch: 2,
    store: harness.store,
    policy: { recordsPlacements: true },
    placementsSince: 1,
  });
  next.hosts.push(...harness.hosts);
  for (const host of next.hosts) next.engine.attach(host.host, host);
  next.engine.addJob(job, undefined);
  expect(
    await runUntilStarted({ harness: next, permits, clock }, 1, 30_000),
  ).toEqual(1);
});

test("a worker that is replaced while its request stands gets permits for its new incarnation", async () => {
  const times = { decideMs: 2_000, eachMs: 0, validMs: 300 };
  const site = await createSite({ times, hosts: 1 });
  const [host] = site.harness.hosts as [FakeHost];
  site.harness.submit("j", [{}]);
  await site.harness.run(1_000);
  host.replaceWorker();
  expect(await runUntilStarted(site, 1, 10_000)).toEqual(1);
});

test("urgent steps do not keep the service from others for good", async () => {
  const times = { decideMs: 400, eachMs: 0, validMs: 500 };
  const site = await createSite({ times });
  const { harness, clock, permits } = site;
  permits.permits = (step) => !step.startsWith("urgent");
  harness.submit("other", [{}], { priority: 2 });
  const end = clock.monotonic() + 40_000;
  for (let nth = 0; clock.monotonic() < end; nth += 1) {
    harness.submit(`urgent${nth}`, [{}]);
    await harness.run(400);
  }
  expect(startedTasks(harness.hosts).has(taskId("other.0.0.0"))).toEqual(true);
});

test("with any times of the service, each step that waits gets its turn", () =>
  fc.assert(
    fc.asyncProperty(
      fc.record({
        decideMs: fc.integer({ min: 0, max: 3_000 }),
        eachMs: fc.integer({ min: 0, max: 150 }),
        validMs: fc.integer({ min: 40, max: 4_000 }),
        lateMs: fc.integer({ min: 0, max: 2_000 }),
      }),
      fc.integer({ min: 1, max: 6 }),
      fc.integer({ min: 1, max: 5 }),
      fc.integer({ min: 0, max: 300 }),
      fc.boolean(),
      async (times, jobs, taskCount, appendMs, recordsPlacements) => {
        const site = await createSite({ times, appendMs, recordsPlacements });
        for (let nth = 0; nth < jobs; nth += 1) {
          site.harness.submit(`j${nth}`, [{ taskCount }]);
          await site.harness.run(200);
        }
        const { decideMs, eachMs, lateMs } = times;
        const callMs = decideMs + 3 * eachMs + lateMs;
        // Each job needs one request for decisions and, at the most, one for each task.
        const maxMs = jobs * (1 + taskCount) * (callMs + 2_000) + 30_000;
        const count = await runUntilStarted(site, jobs * taskCount, maxMs);
        expect(count).toEqual(jobs * taskCount);
        expect(site.permits.badTickets).toEqual(0);
      },
    ),
    { numRuns: 40, seed: 67 },
  ));
