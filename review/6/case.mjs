/**
 * A job that lasts, on the only worker with the label that it needs. That worker goes down and
 * up by turns for 6.5 s and is sound after that.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { URL, fileURLToPath } from "node:url";
import { longestIdleMs } from "../lib-2/idleJobs.mjs";
import { isTroubled, newJobId, runCase, Site } from "../lib-2/Site.mjs";

const QUEUE = "feeds";
/** One worker of eleven has it. */
const LABEL = "b";
const LABELLED = 4;

const FLAP = { forMs: 6_500, periodMs: 1_400 };
/** A lasting task has a run again within this time when nothing disturbs. */
const LASTING_GAP_MS = 6_000;
/** In the end the site is left alone for this long. */
const CALM_MS = 16_000;

const lastingJob = {
  spec: JSON.stringify({ lasts: true }),
  steps: [
    {
      count: 1,
      cpu: 2_000,
      mem_mb: 1_024,
      requirements: LABEL,
      long_running: true,
    },
  ],
};

const site = new Site({
  hosts: 11,
  queues: [{ name: QUEUE, priority: 0 }],
  labelsOf: (at) => [at === LABELLED ? LABEL : "a", `r1-${Math.floor(at / 3)}`],
  recordFile: fileURLToPath(new URL("record.txt", import.meta.url)),
});

/** The worker is down for one half of each period, and up for the other. */
const flap = async (worker) => {
  const until = site.now + FLAP.forMs;
  while (site.now < until) {
    site.record(`worker ${worker.host} crashes`);
    await worker.crash();
    await sleep(FLAP.periodMs / 2);
    await worker.start();
    await sleep(FLAP.periodMs / 2);
  }
  site.record(`worker ${worker.host} is sound from now on`);
};

await runCase(site, async () => {
  const id = newJobId();
  if (!(await site.submit(QUEUE, id, lastingJob)))
    throw new Error("the job was not accepted");
  await sleep(3_000);
  if (isTroubled) await flap(site.workers[LABELLED]);
  const calmFrom = site.now;
  await sleep(CALM_MS);
  const state = await site.stateOf(QUEUE, id);
  const idleMs = longestIdleMs(site, id, calmFrom);
  const isRunning = site.workers[LABELLED].runningTasks.length > 0;
  site.record(
    `state ${state}, running ${isRunning}, ${idleMs} ms without a run`,
  );
  if (state === "failed")
    return (
      "LOST: the job is shown as failed, though no run of it has ended failed and a lasting " +
      `task has no limit of attempts; ${CALM_MS} ms after the worker is sound it has no run`
    );
  if (!isRunning && idleMs > LASTING_GAP_MS)
    return `LOST: the lasting task has had no run for ${idleMs} ms`;
  return undefined;
});
