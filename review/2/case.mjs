/**
 * A client submits one large job: two steps of 5,000 small tasks that save checkpoints. It
 * fits into a third of the workers' room. Small jobs are submitted before and after it.
 */

import { dirname, join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { longestWithoutRun } from "../lib/longestWithoutRun.mjs";
import { Site, runAndExit } from "../lib/site.mjs";

const HERE = dirname(fileURLToPath(import.meta.url));
const HAS_TROUBLE = process.env.TROUBLE !== "0";
const LIMIT_MS = 118_000;

const LARGE_JOB = "5c0e7a21d94b36f8";
const TASKS_PER_STEP = HAS_TROUBLE ? 5_000 : 500;
const LARGE_TASK = { cpu: 5, mem_mb: 8 };
const LARGE_TASK_MS = 30_000;

const SMALL_TASK = { cpu: 500, mem_mb: 256 };
const SMALL_JOBS = 12;
const SMALL_JOB_EVERY_MS = 5_000;
/** Time for the last small jobs to start. */
const SETTLE_MS = 10_000;
/** LOST: a job has nothing running for 3 s, and these and the 4 s before them are calm. */
const MAX_WITHOUT_RUN_MS = 3_000;

const HOSTS = 4;
const CAPACITY = { cpu: 32_000, mem_mb: 128_000 };

const site = new Site({
  record: join(HERE, "record.txt"),
  hosts: HOSTS,
  capacity: CAPACITY,
});

const largeStep = {
  count: TASKS_PER_STEP,
  ...LARGE_TASK,
  estimate_ms: LARGE_TASK_MS,
  checkpointing: true,
};
const largeJob = {
  spec: JSON.stringify({ ms: LARGE_TASK_MS, saves: true, ...LARGE_TASK }),
  steps: [largeStep, largeStep],
};
const smallJob = {
  spec: JSON.stringify({ ms: 300, ...SMALL_TASK }),
  steps: [{ count: 1, ...SMALL_TASK, estimate_ms: 300 }],
};

/** The most processor time that was in use at once, as a share of all workers' room. */
const mostInUse = (events) => {
  let running = 0;
  let most = 0;
  for (const { event, task } of events) {
    if (!task?.startsWith(LARGE_JOB)) continue;
    if (event === "start") running += 1;
    if (event === "end") running -= 1;
    most = Math.max(most, running);
  }
  return (most * LARGE_TASK.cpu) / (HOSTS * CAPACITY.cpu);
};

await runAndExit(site, LIMIT_MS, async () => {
  if (!(await site.client.submit(LARGE_JOB, largeJob)))
    throw new Error("the large job is not accepted");
  const accepted = [];
  for (let number = 1; number <= SMALL_JOBS; number += 1) {
    const id = number.toString(16).padStart(16, "0");
    if (await site.client.submit(id, smallJob))
      accepted.push({ id, at: Date.now() });
    await sleep(SMALL_JOB_EVERY_MS);
  }
  await sleep(SETTLE_MS);
  const now = Date.now();
  const waiting = [];
  for (const { id, at } of accepted) {
    const state = await site.client.stateOf(id);
    const events = site.events.filter(({ task }) => task?.startsWith(id));
    const until = state === "completed" ? events.at(-1).at : now;
    if (longestWithoutRun(events, at, until) > MAX_WITHOUT_RUN_MS)
      waiting.push(`${id} ${state}`);
  }
  const ends = site.events.filter(({ event }) => event === "end").length;
  const noted = site.events.filter(({ event }) => event === "noted").length;
  const [first] = site.store.oversized;
  const seen =
    `${waiting.length} of ${accepted.length} small jobs had nothing running for over 3 s; ` +
    `large job ${await site.client.stateOf(LARGE_JOB)}; ${ends} ends, ${noted} noted; ` +
    `${Math.round(100 * mostInUse(site.events))}% of the processors in use at most; ` +
    `${site.store.oversized.length} appends over record_bytes` +
    (first ? `, first ${first.largest} bytes to ${first.topic}` : "");
  console.log(seen);
  for (const each of waiting) console.log(each);
  return waiting.length > 0 ? `LOST: ${seen}` : undefined;
});
