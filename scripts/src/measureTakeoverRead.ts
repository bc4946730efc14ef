/**
 * `npm run measure:takeover-read`: how long a new leader takes to decode the progress of
 * 28,500 tasks on 1,400 hosts and to restore their placements.
 */

import { Metrics, silentLogger } from "@rackspan/common";
import { JobRun, restorePlacements } from "@rackspan/jobs";
import { plainJob } from "@rackspan/standins";
import { encodeProgress, JobView, type AcceptedJob } from "@rackspan/state";

const SITE = { hosts: 1_400, jobs: 1_425, tasksPerJob: 20 } as const;
const ROUNDS = 7;

const jobs: readonly AcceptedJob[] = Array.from(
  { length: SITE.jobs },
  (_, index) =>
    plainJob({
      id: index.toString(16).padStart(16, "0"),
      acceptedAt: 0,
      steps: [{ taskCount: SITE.tasksPerJob }],
    }),
);

/** The records as a leader writes them, with or without the hosts of all tasks. */
const encodeAll = (hasPlacements: boolean) =>
  jobs.map((accepted, nth) => {
    const job = new JobRun(accepted);
    for (let index = 0; index < SITE.tasksPerJob; index += 1) {
      const task = job.task(0, 0, index);
      if (!task) continue;
      job.markPlaced(task);
      const host = (nth * SITE.tasksPerJob + index * 7) % SITE.hosts;
      task.placedOn = `host-${host}` as unknown as typeof task.placedOn;
    }
    if (hasPlacements) job.placementEpoch = 1;
    return { key: job.id as string, value: encodeProgress(job.toRecord()) };
  });

const measureMs = (records: ReturnType<typeof encodeAll>): number => {
  const view = new JobView({ logger: silentLogger, metrics: new Metrics() });
  const startedAt = performance.now();
  view.applyProgressRecords(records);
  for (const accepted of jobs) view.addAccepted(accepted);
  for (const { accepted, progress } of view.all()) {
    const job = new JobRun(accepted, progress);
    if (progress?.placed) restorePlacements(job, progress.placed);
  }
  return performance.now() - startedAt;
};

for (const hasPlacements of [false, true]) {
  const records = encodeAll(hasPlacements);
  const bytes = records.reduce((sum, { value }) => sum + value.length, 0);
  const times = Array.from({ length: ROUNDS }, () => measureMs(records));
  const sorted = times.slice(1).sort((a, b) => a - b);
  const median = sorted[Math.floor(sorted.length / 2)] ?? 0;
  process.stdout.write(
    `placements ${hasPlacements ? "on" : "off"}: ${SITE.jobs * SITE.tasksPerJob} tasks on ${SITE.hosts} hosts, ${(bytes / 1_000_000).toFixed(2)} MB, first ${Math.round(times[0] ?? 0)} ms, then median ${Math.round(median)} ms\n`,
  );
}
