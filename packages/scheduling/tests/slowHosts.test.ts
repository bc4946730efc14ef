/** How the slowness of a host is computed from the tasks of a large step. */

import { test } from "node:test";
import { expect } from "earl";
import { JobRun, type ActiveRun } from "@rackspan/jobs";
import { updateSlowness } from "@rackspan/scheduling";
import { plainJob } from "@rackspan/standins";

type HostEntry = Parameters<typeof updateSlowness>[0];
type HostRegistry = Parameters<typeof updateSlowness>[1];

const TASKS = 1_000;
const NOW = 10_000;

// Each report of a host compared each of its runs with all others of the step. The leader of
// a step of thousands of tasks had no time left, and lost its lease.
test("a report reads the runs of a step once, however many of them the host runs", () => {
  const job = new JobRun(
    plainJob({ id: "j", acceptedAt: 0, steps: [{ taskCount: TASKS }] }),
  );
  const tasks = job.steps[0]?.tasks ?? [];
  const toRun = (progressPercent: number) => (task: (typeof tasks)[number]) =>
    ({ task, phase: "running", startedAt: 0, progressPercent }) as ActiveRun;
  const slowRuns = tasks.slice(0, TASKS / 2).map(toRun(10));
  const otherRuns = tasks.slice(TASKS / 2).map(toRun(60));
  const hostState = { slowness: 0, runs: new Map(slowRuns.entries()) };
  const host = { hostState } as unknown as HostEntry;
  const other = {} as HostEntry;
  let reads = 0;
  const hosts = {
    placedRunsOf: () => {
      reads += 1;
      return otherRuns.map((run) => ({ host: other, run }));
    },
  } as unknown as HostRegistry;
  updateSlowness(host, hosts, NOW);
  expect(hostState.slowness > 1).toEqual(true);
  expect(reads).toEqual(1);
});
