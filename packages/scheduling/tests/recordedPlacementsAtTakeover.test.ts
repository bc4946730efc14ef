/** For which hosts the tasks of a new leader wait if previous leaders recorded placements. */

import { test } from "node:test";
import { expect } from "earl";
import {
  decodeProgress,
  TopicWriter,
  TOPICS,
  type AcceptedJob,
  type StepSpec,
} from "@rackspan/state";
import {
  EngineHarness,
  LEADERSHIP_TTL_MS,
  LEASE_MS,
  taskId,
  type FakeHost,
  type HarnessOptions,
} from "./engineHarness.js";
import { harnessWithLog } from "./harnessWithLog.js";

const SOON_MS = 200;
/** Time after which every lease that previous leaders could grant has expired. */
const ALL_EXPIRED_MS = (LEADERSHIP_TTL_MS + LEASE_MS) * 1.05;
/** A wait is logged by then. */
const LOGGED_MS = 4_500;
const policy = { recordsPlacements: true };

interface Site {
  readonly previous: EngineHarness;
  readonly jobs: readonly AcceptedJob[];
  /** Reports to the next leader. */
  readonly reporting: FakeHost;
  /** Does not report to the next leader. */
  readonly missing: FakeHost;
}

/** A leader that ends with a task on each of its two hosts and one that was never placed. */
const createSite = async (
  step: Partial<StepSpec> = {},
  previousPolicy: HarnessOptions["policy"] = policy,
): Promise<Site> => {
  const previous = new EngineHarness({ policy: previousPolicy });
  const missing = await previous.addHost("missing");
  const onMissing = previous.submit("m", [step]);
  await previous.run(SOON_MS);
  const reporting = await previous.addHost("reporting");
  missing.draining = true;
  await previous.run(SOON_MS);
  const onReporting = previous.submit("r", [{ lasting: true }]);
  await previous.run(SOON_MS);
  previous.isLeader = false;
  previous.engine.stop();
  const unplaced = previous.submit("u", [{ lasting: true }]);
  return {
    previous,
    jobs: [onMissing, onReporting, unplaced],
    reporting,
    missing,
  };
};

const addJobs = (next: EngineHarness, { previous, jobs }: Site): void => {
  for (const job of jobs) {
    const { id } = job.spec;
    const record = previous.store
      .recordsOf(TOPICS.progress)
      .findLast(({ key }) => key === (id as string));
    const progress = record?.value && decodeProgress(id, record.value);
    next.engine.addJob(job, progress);
  }
};

const optionsOf = ({ previous }: Site, options: HarnessOptions) => ({
  epoch: 2,
  roster: previous.hosts.map(({ host }) => host),
  clock: previous.clock,
  store: previous.store,
  policy,
  ...options,
});

const takeOver = async (
  site: Site,
  options: HarnessOptions = { placementsSince: 1 },
): Promise<EngineHarness> => {
  const next = new EngineHarness(optionsOf(site, options));
  addJobs(next, site);
  next.engine.attach(site.reporting.host, site.reporting);
  await next.run(SOON_MS, [site.reporting]);
  return next;
};

const startedTasks = ({ starts }: FakeHost, epoch = 2): string[] =>
  starts
    .filter((start) => Number(start.epoch) === epoch)
    .map(({ task }) => String(task));

test("a task that was never placed starts beside a missing host, one that was placed there waits", async () => {
  const site = await createSite();
  const next = await takeOver(site);
  expect(startedTasks(site.reporting)).toEqual(["u.0.0.0"]);
  expect(site.reporting.isRunning(taskId("r.0.0.0"))).toEqual(true);
  await next.run(ALL_EXPIRED_MS, [site.reporting]);
  expect(startedTasks(site.reporting)).toEqual(["u.0.0.0", "m.0.0.0"]);
});

test("a task whose last host has reported without it starts beside a missing host", async () => {
  const site = await createSite();
  site.reporting.vanish(taskId("r.0.0.0"));
  await takeOver(site);
  expect(startedTasks(site.reporting).sort()).toEqual(["r.0.0.0", "u.0.0.0"]);
});

test("a task starts once its host is known to have ended, while another host is missing", async () => {
  const site = await createSite();
  const other = await site.previous.addHost("other");
  const next = await takeOver(site);
  next.engine.handleWorkerSilent(site.missing.host, 0);
  await next.run(SOON_MS, [site.reporting]);
  expect(startedTasks(site.reporting)).toEqual(["u.0.0.0", "m.0.0.0"]);
  expect(other.starts).toEqual([]);
});

// Starts of leaders without records may be anywhere, also of jobs without a record.
test("without a term whose placements are complete, every task waits for every host", async () => {
  const site = await createSite();
  const next = await takeOver(site, {});
  expect(startedTasks(site.reporting)).toEqual([]);
  await next.run(ALL_EXPIRED_MS, [site.reporting]);
  expect(startedTasks(site.reporting).sort()).toEqual(["m.0.0.0", "u.0.0.0"]);
});

test("placements recorded before a leader without the flag are not trusted", async () => {
  const site = await createSite();
  await takeOver(site, { epoch: 3, placementsSince: 2 });
  // No record means that no leader since the trusted epoch has started the job.
  expect(startedTasks(site.reporting, 3)).toEqual(["u.0.0.0"]);
  site.reporting.vanish(taskId("r.0.0.0"));
  const again = await takeOver(site, { epoch: 4, placementsSince: 2 });
  expect(startedTasks(site.reporting, 4)).not.toInclude("r.0.0.0");
  await again.run(SOON_MS, [site.reporting]);
  expect(startedTasks(site.reporting, 4)).not.toInclude("r.0.0.0");
});

test("records without placements are not trusted", async () => {
  const site = await createSite({}, {});
  const { previous, reporting } = site;
  // The end of one of two tasks makes the previous leader write a record.
  previous.isLeader = true;
  site.reporting.vanish(taskId("r.0.0.0"));
  const record = {
    state: "running",
    begun: true,
    endedAt: 0,
    done: {},
    failures: [],
    checkpoints: [],
  };
  const next = new EngineHarness(optionsOf(site, { placementsSince: 1 }));
  const [, job] = site.jobs;
  if (!job) throw new Error("no job");
  const value = Buffer.from(JSON.stringify(record));
  next.engine.addJob(job, decodeProgress("r", value));
  next.engine.attach(reporting.host, reporting);
  await next.run(SOON_MS, [reporting]);
  expect(startedTasks(reporting)).toEqual([]);
});

test("a leader without the flag waits for every host although placements are recorded", async () => {
  const site = await createSite();
  await takeOver(site, { placementsSince: 1, policy: {} });
  expect(startedTasks(site.reporting)).toEqual([]);
});

// The end of one member's run would count for all of them.
test("a gang waits for the hosts of all its members", async () => {
  const previous = new EngineHarness({ policy });
  const missing = await previous.addHost("missing");
  const reporting = await previous.addHost("reporting");
  const gang = previous.submit("g", [
    { taskCount: 2, gang: true, maxPerHost: 1 },
  ]);
  await previous.run(SOON_MS);
  expect(missing.runs.length).toEqual(1);
  expect(reporting.runs.length).toEqual(1);
  previous.isLeader = false;
  previous.engine.stop();
  for (const task of reporting.runningTasks) reporting.vanish(task);
  const site: Site = { previous, jobs: [gang], reporting, missing };
  const next = await takeOver(site);
  const third = await next.addHost("third");
  await next.run(2 * SOON_MS, [reporting, third]);
  expect(startedTasks(reporting)).toEqual([]);
  await next.run(ALL_EXPIRED_MS, [reporting, third]);
  expect(startedTasks(reporting).length).toEqual(1);
  expect(startedTasks(third).length).toEqual(1);
});

test("a task waits for its host while that has ends left to list", async () => {
  const site = await createSite();
  const { missing, reporting } = site;
  const next = await takeOver(site);
  next.engine.attach(missing.host, missing);
  missing.vanish(taskId("m.0.0.0"));
  next.engine.handleReport(missing.host, missing.zone, {
    ...missing.report(),
    hasMoreEnds: true,
  });
  await next.run(SOON_MS, [reporting]);
  expect(startedTasks(reporting)).toEqual(["u.0.0.0"]);
  next.reportOf(missing);
  await next.run(SOON_MS, [reporting, missing]);
  expect(startedTasks(reporting)).toEqual(["u.0.0.0", "m.0.0.0"]);
});

test("the log names the one host that a task waits for", async () => {
  const site = await createSite();
  const other = await site.previous.addHost("other");
  expect(other.starts).toEqual([]);
  const { harness: next, lines } = harnessWithLog(
    optionsOf(site, { placementsSince: 1 }),
  );
  addJobs(next, site);
  next.engine.attach(site.reporting.host, site.reporting);
  await next.run(LOGGED_MS, [site.reporting]);
  const line = lines.findLast(
    (text) =>
      text.includes("event=task.waits ") && text.includes("task=m.0.0.0 "),
  );
  expect(line ?? "").toInclude("cause=take-over");
  expect(line ?? "").toInclude('unheard="1: missing"');
});

test("the log counts the tasks that wait for each host", async () => {
  const site = await createSite({ taskCount: 3 });
  const { harness: next, lines } = harnessWithLog(
    optionsOf(site, { placementsSince: 1 }),
  );
  addJobs(next, site);
  next.engine.attach(site.reporting.host, site.reporting);
  await next.run(LOGGED_MS, [site.reporting]);
  const line = lines.findLast((text) => text.includes("event=takeover.waits "));
  expect(line ?? "").toInclude("tasks=3");
  expect(line ?? "").toInclude("hosts=missing:3");
});

// The next leader can trust the records only then.
test("a leader that trusts no records completes them once no host is missing", async () => {
  const site = await createSite({}, {});
  const next = await takeOver(site, {});
  expect(next.completions).toEqual(0);
  await next.run(ALL_EXPIRED_MS, [site.reporting]);
  expect(next.completions).toEqual(1);
  const value = next.store
    .recordsOf(TOPICS.progress)
    .findLast(({ key }) => key === "r")?.value;
  const progress = value && decodeProgress("r", value);
  expect(progress?.placed).toEqual(["reporting 0.0:0"]);
  expect(progress?.placedEpoch).toEqual(2);
});

test("a leader that trusts the records does not write them again", async () => {
  const site = await createSite();
  const next = await takeOver(site);
  await next.run(ALL_EXPIRED_MS, [site.reporting]);
  expect(next.completions).toEqual(0);
});

// A later leader would wait for that host, too, if it is missing by then.
test("a record no longer names the last host of a task once that has reported without it", async () => {
  const previous = new EngineHarness({ policy });
  const first = await previous.addHost("first");
  const second = await previous.addHost("second");
  const job = previous.submit("r", [{ taskCount: 2, maxPerHost: 1 }]);
  await previous.run(SOON_MS);
  previous.isLeader = false;
  previous.engine.stop();
  const [lost] = first.runningTasks;
  const [left] = second.runningTasks;
  if (!lost || !left) throw new Error("a task was not placed");
  first.vanish(lost);
  // Nothing can be placed, so the task keeps waiting.
  for (const host of [first, second]) host.draining = true;
  const site = { previous, jobs: [job], reporting: second, missing: first };
  const next = await takeOver(site);
  next.engine.attach(first.host, first);
  await next.run(SOON_MS, [first, second]);
  second.end(left, "done");
  await next.run(SOON_MS, [first, second]);
  const value = previous.store
    .recordsOf(TOPICS.progress)
    .findLast(({ key }) => key === "r")?.value;
  const progress = value && decodeProgress("r", value);
  expect(Object.keys(progress?.done ?? {})).toEqual(["0.0"]);
  expect(progress?.placed).toEqual([]);
});

// A report that was taken before the leases of its host were over may arrive late. Once
// that run vanished, the task would start beside its later run on the missing host.
test("an earlier run of a task is not adopted while a later one may be on a missing host", async () => {
  const site = await createSite();
  const { missing, reporting } = site;
  const task = taskId("m.0.0.0");
  const later = missing.runs.find((run) => run.task === task);
  if (!later) throw new Error("the task was not placed");
  reporting.stopsAtOnce = false;
  reporting.startLate({ task, run: (later.run - 1) as typeof later.run });
  const next = await takeOver(site);
  reporting.vanish(task);
  await next.run(2 * SOON_MS, [reporting]);
  expect(startedTasks(reporting)).toEqual(["u.0.0.0"]);
  expect(reporting.stops.map((stop) => String(stop.task))).toInclude(task);
});

// The host lists the end although its leases were over by the count of the leader.
test("a task is not started once its earlier run is listed as done before the order is sent", async () => {
  const site = await createSite();
  const { missing, reporting } = site;
  const task = taskId("m.0.0.0");
  missing.end(task, "done");
  const next = await takeOver(site);
  next.store.fault = "refuses";
  next.engine.handleWorkerSilent(missing.host, 0);
  await next.run(SOON_MS, [reporting]);
  next.engine.attach(missing.host, missing);
  next.reportOf(missing);
  next.store.fault = "none";
  await next.run(5 * SOON_MS, [reporting, missing]);
  expect(startedTasks(reporting)).not.toInclude("m.0.0.0");
  expect(missing.acknowledged).toEqual(1);
  const value = next.store
    .recordsOf(TOPICS.progress)
    .findLast(({ key }) => key === "m")?.value;
  expect(value && decodeProgress("m", value).state).toEqual("completed");
});

// Otherwise the work of the earlier run would be lost.
test("an earlier run that is listed before the order is sent is adopted", async () => {
  const site = await createSite();
  const { missing, reporting } = site;
  const next = await takeOver(site);
  next.store.fault = "refuses";
  next.engine.handleWorkerSilent(missing.host, 0);
  await next.run(SOON_MS, [reporting]);
  next.engine.attach(missing.host, missing);
  next.reportOf(missing);
  next.store.fault = "none";
  await next.run(5 * SOON_MS, [reporting, missing]);
  expect(startedTasks(reporting)).not.toInclude("m.0.0.0");
  expect(missing.stops).toEqual([]);
  expect(missing.isRunning(taskId("m.0.0.0"))).toEqual(true);
  const value = next.store
    .recordsOf(TOPICS.progress)
    .findLast(({ key }) => key === "m")?.value;
  const progress = value && decodeProgress("m", value);
  expect(progress?.placed).toEqual(["missing 0.0:0"]);
});

/** A leader that ends after the given record of a task whose next run is announced. */
const takeOverAfterAnnouncement = async (isPlaced: boolean) => {
  const previous = new EngineHarness({ policy });
  const first = await previous.addHost("h1");
  const job = previous.submit("j", [{}]);
  await previous.run(SOON_MS);
  first.replaceWorker();
  await previous.run(1_500);
  const record = previous.store
    .recordsOf(TOPICS.progress)
    .flatMap(({ key, value }) =>
      key === "j" && value ? [decodeProgress("j", value)] : [],
    )
    .find(
      ({ announced, placed = [] }) =>
        announced.length > 0 && placed.length > 0 === isPlaced,
    );
  expect(record?.announced.length).toEqual(1);
  previous.isLeader = false;
  previous.engine.stop();
  const site = { previous, jobs: [], reporting: first, missing: first };
  const next = new EngineHarness(
    optionsOf(site, { placementsSince: 1, roster: [] }),
  );
  next.engine.addJob(job, record);
  const other = await next.addHost("h5");
  await next.run(2 * SOON_MS);
  expect(other.starts.length).toEqual(1);
  const value = next.store
    .recordsOf(TOPICS.progress)
    .findLast(({ key }) => key === "j")?.value;
  return value && decodeProgress("j", value).crashes[0]?.[1].length;
};

// The host of a run is recorded before its order is sent.
test("an announced run without a recorded host is no possible crash", async () => {
  expect(await takeOverAfterAnnouncement(false)).toEqual(1);
});

test("an announced run with a recorded host is a possible crash", async () => {
  expect(await takeOverAfterAnnouncement(true)).toEqual(2);
});

// Otherwise the next leader would trust no placements, however long this term lasts.
test("records that could not be completed are completed at a later tick", async () => {
  const site = await createSite({}, {});
  const next = new EngineHarness(optionsOf(site, {}));
  const writer = TopicWriter.prototype;
  const { write } = writer;
  addJobs(next, site);
  next.engine.attach(site.reporting.host, site.reporting);
  writer.write = () => ({
    persisted: Promise.reject(new Error("answer 413")),
    abandon: () => true,
  });
  try {
    await next.run(ALL_EXPIRED_MS, [site.reporting]);
  } finally {
    writer.write = write;
  }
  expect(next.completions).toEqual(0);
  next.failsToComplete = true;
  await next.run(5 * SOON_MS, [site.reporting]);
  next.failsToComplete = false;
  await next.run(5 * SOON_MS, [site.reporting]);
  expect(next.completions).toEqual(1);
});
