/**
 * What users saw: a task that crashed each worker that started it was started six
 * times in 17 s, on one host. Every crash took all other runs of that worker with
 * it, and callers of quick requests waited for workers that came back.
 *
 * Order of events: the task starts; some milliseconds later its worker is gone and
 * lists no end. Seconds later the worker's next life reports, and shows none of the
 * runs. All of them wait again, and the host, empty now, is the first choice for
 * the task that crashed it.
 *
 * Cause: only ends that a worker lists as failed counted towards a bound. A run
 * that was lost with its worker's life counted towards none, whatever had ended it,
 * so neither this leader nor the next one ever gave the task up.
 *
 * Evidence: the record shows six starts by one leader, one life of the worker each;
 * in these tests a leader without a count starts the task for as long as it is let.
 */

import { test } from "node:test";
import { expect } from "earl";
import { decodeProgress, TOPICS } from "@rackspan/state";
import { EngineHarness, taskId, type FakeHost } from "./engineHarness.js";

const JOB = "5c0e7a21d94b36f8";
const TASK = taskId(`${JOB}.0.0.0`);
/** A crashed worker is back after this, milliseconds. */
const DOWN_MS = 600;

const stateOf = (site: EngineHarness, id: string): string | undefined => {
  const record = site.store
    .recordsOf(TOPICS.progress)
    .findLast(({ key }) => key === id);
  return record?.value && decodeProgress(id, record.value).state;
};

/** Lets time pass; a worker that runs the task crashes at once, and comes back. */
const runWithCrashes = async (
  site: EngineHarness,
  task: typeof TASK,
  ms: number,
): Promise<number> => {
  const end = site.clock.monotonic() + ms;
  const downUntil = new Map<FakeHost, number>();
  let crashes = 0;
  while (site.clock.monotonic() < end) {
    for (const host of site.hosts) {
      if (!host.isRunning(task)) continue;
      crashes += 1;
      host.replaceWorker();
      downUntil.set(host, site.clock.monotonic() + DOWN_MS);
    }
    const now = site.clock.monotonic();
    const up = site.hosts.filter((host) => (downUntil.get(host) ?? 0) <= now);
    await site.run(100, up);
  }
  return crashes;
};

test("a task that crashes each worker that starts it is given up, and its job shown as failed", async () => {
  const site = new EngineHarness();
  for (const name of ["h1", "h2", "h3"]) await site.addHost(name);
  site.submit(JOB, [{}]);
  const crashes = await runWithCrashes(site, TASK, 20_000);
  expect(crashes).toEqual(2);
  expect(stateOf(site, JOB)).toEqual("failed");
});
