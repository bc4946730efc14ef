/**
 * Workers crash one after the other, and come back after a second. No run of any task ends
 * as `failed`.
 */

import { dirname, join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { Site, runAndExit } from "../lib/site.mjs";

const HERE = dirname(fileURLToPath(import.meta.url));
const HAS_TROUBLE = process.env.TROUBLE !== "0";
const LIMIT_MS = 118_000;

const HOSTS = 8;
/** One of eight workers at a time is a share of 0.125. */
const CRASHES = 15;
const CRASH_EVERY_MS = 2_000;
const DOWN_MS = 1_000;

const BATCH_JOBS = 36;
const STANDING_JOBS = 4;
const TASKS = 2;
const TASK_MS = 20_000;
const NEED = { cpu: 1_000, mem_mb: 1_024 };
const SETTLE_MS = 25_000;

const site = new Site({
  record: join(HERE, "record.txt"),
  hosts: HOSTS,
  capacity: { cpu: 32_000, mem_mb: 128_000 },
});

const batchJob = {
  spec: JSON.stringify({ ms: TASK_MS, ...NEED }),
  steps: [{ count: TASKS, ...NEED, estimate_ms: TASK_MS }],
};
const standingJob = {
  spec: JSON.stringify({ lasts: true, ...NEED }),
  steps: [{ count: TASKS, ...NEED, long_running: true }],
};

/** Crashes one worker after the other, each picked at random. */
const crashWorkers = async () => {
  for (let number = 0; number < CRASHES; number += 1) {
    const index = Math.floor(Math.random() * HOSTS);
    await Promise.all([
      site.crashWorker(index, DOWN_MS),
      sleep(CRASH_EVERY_MS),
    ]);
  }
};

await runAndExit(site, LIMIT_MS, async () => {
  const accepted = [];
  for (let number = 1; number <= STANDING_JOBS + BATCH_JOBS; number += 1) {
    const id = number.toString(16).padStart(16, "0");
    const job = number <= STANDING_JOBS ? standingJob : batchJob;
    if (await site.client.submit(id, job)) accepted.push(id);
  }
  if (HAS_TROUBLE) await crashWorkers();
  await sleep(SETTLE_MS);
  const failed = [];
  for (const id of accepted)
    if ((await site.client.stateOf(id)) === "failed") failed.push(id);
  const failedEnds = site.events.filter(({ how }) => how === "failed").length;
  const seen =
    `${failed.length} of ${accepted.length} jobs are shown as failed; ` +
    `${failedEnds} runs ended as failed`;
  console.log(seen);
  for (const id of failed) {
    const events = site.events.filter(({ task }) => task?.startsWith(id));
    const starts = events.filter(({ event }) => event === "start").length;
    const isStanding = Number.parseInt(id, 16) <= STANDING_JOBS;
    console.log(`${id} ${isStanding ? "standing" : "batch"}: ${starts} starts`);
  }
  return failed.length > 0 && failedEnds === 0 ? `LOST: ${seen}` : undefined;
});
