/**
 * Six jobs come within two seconds on a queue that carries `advice`. Each needs one call to the
 * service that permits workers. Without the disruption each comes when the one before is done.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { URL, fileURLToPath } from "node:url";
import { idleJobs } from "../lib-2/idleJobs.mjs";
import { isTroubled, newJobId, runCase, Site } from "../lib-2/Site.mjs";

const QUEUE = "minutes";
const JOBS = 6;
const TASKS = 4;
const BURST_GAP_MS = 360;
/** After the last job is accepted, all are watched for this long. */
const WATCHED_MS = 40_000;

/** `valid_ms` is that of the example; a call that names ten workers takes 1.7 s. */
const advice = { decideMs: 700, eachMs: 100, validMs: 3_000 };

const job = {
  spec: JSON.stringify({ ms: 500 }),
  steps: [{ count: TASKS, cpu: 500, mem_mb: 256, estimate_ms: 500 }],
};

const site = new Site({
  hosts: 11,
  queues: [{ name: QUEUE, advice }],
  advice,
  recordFile: fileURLToPath(new URL("record.txt", import.meta.url)),
});

const isDone = async (id) => (await site.stateOf(QUEUE, id)) === "completed";

const untilDone = async (id) => {
  const until = site.now + 10_000;
  while (site.now < until && !(await isDone(id))) await sleep(300);
};

await runCase(site, async () => {
  const accepted = [];
  for (let at = 0; at < JOBS; at += 1) {
    const id = newJobId();
    if (!(await site.submit(QUEUE, id, job)))
      throw new Error("a job was not accepted");
    accepted.push(id);
    if (isTroubled) await sleep(BURST_GAP_MS);
    else await untilDone(id);
  }
  site.record("end of the traffic");
  const until = site.now + WATCHED_MS;
  const open = new Set(accepted);
  while (open.size > 0 && site.now < until) {
    await sleep(1_000);
    for (const id of open) if (await isDone(id)) open.delete(id);
  }
  if (open.size === 0) return undefined;
  const idle = idleJobs(
    site,
    [...open].map((id) => ({ id, tasks: TASKS })),
  );
  if (idle.length === 0) return undefined;
  return (
    `LOST: ${open.size} of ${JOBS} accepted jobs are not done ${WATCHED_MS} ms after the last one ` +
    `was sent, and ${idle.length} of them have nothing running for 3 s beside idle workers that ` +
    "the service permits"
  );
});
