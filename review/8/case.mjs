/**
 * Jobs that need a label which one worker of eleven has. That worker is unhealthy for 6.5 s:
 * it answers starts with 503 and does nothing. The queue has to list these jobs as pending.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { URL, fileURLToPath } from "node:url";
import { BOUNDS, isTroubled, newJobId, runCase, Site } from "../lib-2/Site.mjs";

const QUEUE = "minutes";
const LABEL = "b";
const LABELLED = 4;
const JOBS = 8;
const UNHEALTHY_MS = 6_500;
/** A job that was accepted this long before has to be counted. */
const COUNTED_AFTER_MS = BOUNDS.visibleMs + 2_000;

const labelledJob = {
  spec: JSON.stringify({ ms: 500 }),
  steps: [
    { count: 1, cpu: 500, mem_mb: 256, estimate_ms: 500, requirements: LABEL },
  ],
};

const site = new Site({
  hosts: 11,
  labelsOf: (at) => [at === LABELLED ? LABEL : "a", `r1-${Math.floor(at / 3)}`],
  recordFile: fileURLToPath(new URL("record.txt", import.meta.url)),
});

const hasBegun = (id) =>
  site.events.some(
    ({ event, task }) => event === "began" && task.startsWith(`${id}.`),
  );

await runCase(site, async () => {
  const worker = site.workers[LABELLED];
  const unhealthyFrom = site.now;
  worker.isUnhealthy = isTroubled;
  const accepted = [];
  for (let at = 0; at < JOBS; at += 1) {
    const id = newJobId();
    if (await site.submit(QUEUE, id, labelledJob))
      accepted.push({ id, at: site.now });
  }
  let broken;
  while (site.now < unhealthyFrom + UNHEALTHY_MS) {
    for (let entry = 0; entry < site.entries.length; entry += 1) {
      const askedAt = site.now;
      const { status, body } = await site.call(entry, "GET", `/${QUEUE}/`);
      const due = accepted.filter(
        ({ id, at }) => at + COUNTED_AFTER_MS < askedAt && !hasBegun(id),
      );
      if (status !== 200 || due.length === 0) continue;
      site.record(
        `entry-${entry + 1} lists ${body.pending}, ${due.length} jobs are due`,
      );
      if (body.pending < due.length / 2)
        broken =
          `MIXED: entry-${entry + 1} lists ${body.pending} jobs as pending, while ${due.length} ` +
          `were accepted over ${COUNTED_AFTER_MS} ms before and none of their tasks has begun`;
    }
    await sleep(200);
  }
  worker.isUnhealthy = false;
  return broken;
});
