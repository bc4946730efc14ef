import { afterEach, test } from "node:test";
import { expect } from "earl";
import { createLogger, hostId, unitId } from "@rackspan/common";
import type { Unit } from "@rackspan/state";
import { EXIT_CODE } from "@rackspan/cli";
import {
  Caller,
  describeSite,
  EventStreamClient,
  OperatorSession,
  Site,
  waitUntil,
} from "@rackspan/harness";
import { writeDeclarations } from "./writeDeclarations.js";

const open: Site[] = [];
const caller = new Caller();

afterEach(async () => {
  for (const site of open.splice(0)) await site.close();
  caller.close();
});

const startSite = async (
  workers: number,
  entries: number,
  options = {},
): Promise<Site> => {
  const site = new Site({
    description: describeSite({ workers, entries, processors: 8 }),
    entrySettings: {
      jobs: {
        takeoverMs: 100,
        notStartedMs: 500,
        longestLeaseMs: 1_200,
        claimTimeoutMs: 1_000,
        appendTimeoutMs: 3_000,
      },
    },
    sideSettings: {
      tasks: { renewEveryMs: 50, leaseMs: 1_000, reservationTtlMs: 1_500 },
    },
    ...options,
  });
  open.push(site);
  await site.start();
  return site;
};

const job = (name: string, args: object = {}, extra: object = {}) => ({
  kind: "job",
  name,
  resources: { processors: 2, memoryMiB: 64 },
  program: { name: "batch", args: { steps: 40, stepMs: 20, ...args } },
  ...extra,
});

const unitAt = (site: Site, id: string): Unit | undefined =>
  [...site.entries.values()][0]?.fold.units.get(unitId(id));

const isRunning = (site: Site, id: string): boolean =>
  site.platform.tasks.entries.some(
    (entry) => entry.unit === id && entry.endedAt === undefined,
  );

const finishes = (site: Site, id: string, finish: string): Promise<void> =>
  waitUntil(`${id} has ${finish}`, () => unitAt(site, id)?.finish === finish);

const submit = async (site: Site, ...jobs: object[]): Promise<void> => {
  await site.operator.runOrThrow("submit", writeDeclarations(jobs));
};

/** Checks that every step was executed at least once and that the job succeeded exactly once. */
const expectWhole = (site: Site, id: string, steps = 40): void => {
  expect(site.platform.tasks.successCounts().get(id)).toEqual(1);
  expect(site.platform.tasks.stepCountsOf(id).size).toEqual(steps);
  expect(site.platform.tasks.overlaps).toEqual(0);
};

test("a restarted side process adopts the running tasks without running them again", async () => {
  const site = await startSite(1, 1);
  await submit(site, job("a"));
  await waitUntil("it runs", () => isRunning(site, "job/a"));
  await site.killSide("host-1");
  await site.startSide("host-1");
  await finishes(site, "job/a", "succeeded");
  expectWhole(site, "job/a");
  expect(site.platform.tasks.entries.length).toEqual(1);
});

test("the job of a replaced host is freed only after the longest lease and resumes elsewhere", async () => {
  const site = await startSite(2, 2);
  await submit(site, job("a", { steps: 100 }));
  await waitUntil(
    "it is claimed",
    () => unitAt(site, "job/a")?.phase === "claimed",
  );
  await waitUntil("it runs", () => isRunning(site, "job/a"));
  const host = String(unitAt(site, "job/a")?.claim?.host);
  await site.killSide(host);
  const place = site.workerDescription(host);
  await site.platform.workers.get(place.host)?.kill();
  site.platform.hostList.remove(place.host);
  await finishes(site, "job/a", "succeeded");
  expect(unitAt(site, "job/a")?.attempt).toEqual(2);
  expectWhole(site, "job/a", 100);
});

test("an unreachable host keeps its claims until it is fenced", async () => {
  const site = await startSite(2, 1);
  await submit(site, job("a", { steps: 150 }));
  await waitUntil("it runs", () => isRunning(site, "job/a"));
  const host = String(unitAt(site, "job/a")?.claim?.host);
  await site.killSide(host);
  // The task's lease expires while the host list still contains the host.
  await waitUntil("its lease has expired", () => !isRunning(site, "job/a"));
  await new Promise((resolve) => setTimeout(resolve, 1_500));
  expect([
    unitAt(site, "job/a")?.phase,
    unitAt(site, "job/a")?.attempt,
  ]).toEqual(["claimed", 1]);
  await site.operator.runOrThrow(
    "fence",
    host,
    "--i-have-checked-that-it-is-down",
  );
  await finishes(site, "job/a", "succeeded");
  expectWhole(site, "job/a", 150);
});

test("a claim whose entry dies before the start is freed as never started", async () => {
  const site = await startSite(1, 2);
  const [dying] = [...site.entries.values()];
  // The entry reads its claim back and then never sends the start.
  const peer = dying?.sides.all()[0];
  if (peer) peer.start = () => new Promise(() => undefined);
  const jobs = Array.from({ length: 8 }, (_, i) =>
    job(`j${i}`, { steps: 5 }, { resources: { processors: 1, memoryMiB: 1 } }),
  );
  await submit(site, ...jobs);
  await waitUntil("some are claimed and not started", () =>
    jobs.some(({ name }) => {
      const unit = unitAt(site, `job/${name}`);
      return unit?.phase === "claimed" && !isRunning(site, `job/${name}`);
    }),
  );
  await site.killEntry("entry-1");
  site.platform.hostList.remove(hostId("entry-1"));
  for (const { name } of jobs) {
    await finishes(site, `job/${name}`, "succeeded");
    expectWhole(site, `job/${name}`, 5);
  }
});

test("lost answers to appends and worker calls start no job twice", async () => {
  const site = await startSite(2, 2);
  site.platform.log.server.faults.loseAnswers = 6;
  for (const worker of site.platform.workers.values())
    worker.server.faults.loseAnswers = 2;
  const jobs = Array.from({ length: 6 }, (_, i) => job(`j${i}`, { steps: 5 }));
  await submit(site, ...jobs);
  for (const { name } of jobs) {
    await finishes(site, `job/${name}`, "succeeded");
    expectWhole(site, `job/${name}`, 5);
  }
});

test("running work continues during a log outage, and its end is recorded afterwards", async () => {
  const site = await startSite(1, 1);
  await submit(site, job("a", { steps: 20 }));
  await waitUntil("it runs", () => isRunning(site, "job/a"));
  site.platform.log.server.faults.mode = "down";
  await waitUntil("it has ended", () =>
    site.platform.tasks.successCounts().has("job/a"),
  );
  const refused = await site.operator.run(
    "submit",
    writeDeclarations([job("b")]),
  );
  expect(refused.code).toEqual(3);
  expect(unitAt(site, "job/a")?.phase).toEqual("claimed");
  site.platform.log.server.faults.reset();
  await finishes(site, "job/a", "succeeded");
  expectWhole(site, "job/a", 20);
});

test("a drained host returns its jobs with their checkpoints and takes no new ones", async () => {
  const site = await startSite(2, 1);
  await submit(site, job("a", { steps: 100 }));
  await waitUntil(
    "it has done some steps",
    () => site.platform.tasks.stepCountsOf("job/a").size > 5,
  );
  const host = String(unitAt(site, "job/a")?.claim?.host);
  await site.operator.runOrThrow("drain", host);
  await finishes(site, "job/a", "succeeded");
  expectWhole(site, "job/a", 100);
  const times = [...site.platform.tasks.stepCountsOf("job/a").values()];
  expect(times.every((count) => count === 1)).toEqual(true);
  expect(site.platform.tasks.entries.length).toEqual(2);
});

test("a throttled job runs more slowly, and a job that does not run cannot be throttled", async () => {
  const site = await startSite(1, 1);
  await submit(site, job("a", { steps: 100_000 }));
  await waitUntil(
    "it runs",
    () => site.platform.tasks.stepCountsOf("job/a").size > 2,
  );
  await site.operator.runOrThrow("throttle", "job/a", "--share", "0.01");
  const before = site.platform.tasks.stepCountsOf("job/a").size;
  await new Promise((resolve) => setTimeout(resolve, 500));
  // In that time the job executes about 25 steps without the limit, and 0 or 1 with it.
  const steps = site.platform.tasks.stepCountsOf("job/a").size - before;
  const runs = site.platform.tasks.entries.length;
  expect({ runs, isSlow: steps <= 2 }).toEqual({ runs: 1, isSlow: true });
  const { code } = await site.operator.run(
    "throttle",
    "job/none",
    "--share",
    "0.5",
  );
  expect(code).toEqual(3);
});

test("a request can be traced by its id through the logs of entry and side", async () => {
  const lines: string[] = [];
  const logger = createLogger({
    level: "debug",
    write: (line) => lines.push(line),
  });
  const site = await startSite(2, 1, { logger });
  await startService(site);
  const { headers } = await caller.call(`${site.urls[0]}/bays/1`);
  const id = String(headers["rackspan-request-id"]);
  const found = () => lines.filter((line) => line.includes(`request=${id}`));
  await waitUntil("both have written their line", () => found().length === 2);
  expect(
    found()
      .map((line) => /role=(\w+)/.exec(line)?.[1] ?? "")
      .sort(),
  ).toEqual(["entry", "side"]);
});

test("a cancelled job is stopped, and no host is overcommitted", async () => {
  const site = await startSite(2, 2);
  const jobs = Array.from({ length: 20 }, (_, i) =>
    job(`j${i}`, { steps: 10 }),
  );
  await submit(
    site,
    ...jobs,
    job("long", { steps: 10_000 }, { priority: "urgent" }),
  );
  await waitUntil("it runs", () => isRunning(site, "job/long"));
  await site.operator.runOrThrow("cancel", "job/long");
  await finishes(site, "job/long", "cancelled");
  for (const { name } of jobs) await finishes(site, `job/${name}`, "succeeded");
  for (const worker of site.platform.workers.values()) {
    expect(worker.peak.processors <= 8).toEqual(true);
  }
  expect(isRunning(site, "job/long")).toEqual(false);
});

test("configuration and finished jobs survive the replacement of all entries", async () => {
  const site = await startSite(1, 2);
  await submit(site, job("a", { steps: 3 }));
  await finishes(site, "job/a", "succeeded");
  const before = await site.operator.runOrThrow("get", "config", "--json");
  await site.killEntry("entry-1");
  await site.killEntry("entry-2");
  await site.startEntry("entry-1");
  await waitUntil(
    "it has read the log",
    () => site.entry("entry-1").notReadyReason() === undefined,
  );
  expect(await site.operator.runOrThrow("get", "config", "--json")).toEqual(
    before,
  );
  expect(unitAt(site, "job/a")?.finish).toEqual("succeeded");
});

test("a command tries the next entry when one is down, and reports when none is reachable", async () => {
  const site = await startSite(1, 1);
  const down = "127.0.0.1:9";
  const up = site.entry("entry-1").controlAddress;
  const { code } = await new OperatorSession([down, up]).run("status");
  expect(code).toEqual(EXIT_CODE.OK);
  const failed = await new OperatorSession([down]).run("status");
  expect(failed.code).toEqual(EXIT_CODE.UNREACHABLE);
  expect(failed.err).toEqual(expect.includes("--entry"));
});

test("of two operators with the same base version, one is accepted and one gets a conflict", async () => {
  const site = await startSite(1, 2);
  const quota = (maxJobs: number) =>
    writeDeclarations([
      {
        kind: "quota",
        name: "t",
        resources: { processors: 1, memoryMiB: 1 },
        maxJobs,
      },
    ]);
  const results = await Promise.all(
    [1, 2].map((maxJobs) => site.operator.run("apply", quota(maxJobs))),
  );
  expect(results.map(({ code }) => code).sort()).toEqual([0, 3]);
  expect(results.find(({ code }) => code === 3)?.err ?? "").toEqual(
    expect.includes("conflict"),
  );
});

const SERVICE = {
  kind: "service",
  name: "halls",
  replicas: 2,
  resources: { processors: 1, memoryMiB: 64 },
  program: { name: "endpoint" },
  routes: [
    { prefix: "/halls", class: "watch", repeatable: true },
    { prefix: "/bays", class: "query", repeatable: true },
  ],
};

const startService = async (site: Site): Promise<void> => {
  await site.operator.runOrThrow(
    "apply",
    writeDeclarations([SERVICE]),
    "--wait",
  );
  await waitUntil("both endpoints are in service", () =>
    [...site.entries.values()].every(({ sides, fold }) =>
      fold.config
        .services()
        .every(({ name }) => sides.serving(name).length === 2),
    ),
  );
};

test("a planned stop of a side breaks no request, and its watches move without gaps", async () => {
  const site = await startSite(2, 1);
  await startService(site);
  const [url] = site.urls;
  const watch = new EventStreamClient(() =>
    caller.open(`${url}/halls/1?watch`),
  );
  await watch.start();
  await waitUntil("the watch has events", () => watch.ids.length > 2);
  const slow = Array.from({ length: 6 }, () =>
    caller.call(`${url}/bays/1?delayMs=400`),
  );
  const host = ([...watch.endpoints][0] ?? "").split("@")[1] ?? "";
  await site.stopSide(host);
  const after = Array.from({ length: 6 }, () => caller.call(`${url}/bays/1`));
  const statuses = (await Promise.all([...slow, ...after])).map(
    ({ status }) => status,
  );
  expect(statuses).toEqual(Array(12).fill(200));
  await waitUntil("the watch has moved", () => watch.endpoints.size === 2);
  expect([watch.isGapless, watch.reconnects]).toEqual([true, 0]);
  watch.close();
});

test("a planned stop of an entry completes requests in progress and refuses later ones", async () => {
  const site = await startSite(2, 1);
  await startService(site);
  const [url] = site.urls;
  const slow = caller.call(`${url}/bays/1?delayMs=900`);
  const stopping = site.stopEntry("entry-1");
  expect((await slow).status).toEqual(200);
  await stopping;
  await expect(caller.call(`${url}/bays/1`)).toBeRejected();
});

test("requests are routed around a dead host", async () => {
  const site = await startSite(2, 1);
  await startService(site);
  await site.killSide("host-1");
  const [url] = site.urls;
  const answers = await Promise.all(
    Array.from({ length: 10 }, () => caller.call(`${url}/bays/1`)),
  );
  expect(answers.map(({ status }) => status)).toEqual(Array(10).fill(200));
});
