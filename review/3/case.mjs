/**
 * The operator's configuration has grown by many routes. Then all processes lose power for
 * 1.5 s and start again, at entries with the link of a small deployment.
 */

import { dirname, join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { Site, runAndExit } from "../lib/site.mjs";

const HERE = dirname(fileURLToPath(import.meta.url));
const HAS_TROUBLE = process.env.TROUBLE !== "0";
const LIMIT_MS = 118_000;

/** `link_mbps` 2.0 of the small twin, of which `thin` = 0.7 is played. */
const LINK_MBPS = 1.4;
/** The routes of the small twin before (245), and `big_config` with its largest count. */
const IDLE_ROUTES = 245 + 1_976;
const DOWN_MS = 1_500;
/** `recovery_s` of the site. */
const RECOVERY_MS = 15_000;

const BEFORE_CONFIG_MS = 5_000;
const BEFORE_FAULT_MS = 15_000;
const WATCHED_MS = 25_000;
const REQUEST_EVERY_MS = 250;
const SERVED_SHARE = 0.25;

const site = new Site({
  record: join(HERE, "record.txt"),
  entries: 4,
  hosts: 6,
  capacity: { cpu: 16_000, mem_mb: 64_000 },
  linkMbps: LINK_MBPS,
});

const need = { cpu: 240, mem_mb: 480 };
const job = {
  spec: JSON.stringify({ ms: 900, ...need }),
  steps: [{ count: 6, ...need, estimate_ms: 900 }],
};

/** Requests with the time at which they were first sent, and whether they were served. */
const requests = [];
let isSending = true;

const sendRequests = async () => {
  const open = [];
  for (let number = 1; isSending; number += 1) {
    const id = number.toString(16).padStart(16, "0");
    const sentAt = Date.now();
    open.push(
      site.client
        .submit(id, job)
        .then((isServed) => requests.push({ sentAt, isServed })),
    );
    await sleep(REQUEST_EVERY_MS);
  }
  await Promise.all(open);
};

const count = (from, until) => {
  const sent = requests.filter(
    ({ sentAt }) => sentAt >= from && sentAt < until,
  );
  const served = sent.filter(({ isServed }) => isServed).length;
  const share = served / Math.max(1, sent.length);
  return { share, text: `${served} of ${sent.length}` };
};

await runAndExit(site, LIMIT_MS, async () => {
  const startedAt = Date.now();
  const sending = sendRequests();
  await sleep(BEFORE_CONFIG_MS);
  site.putConfig(20, IDLE_ROUTES);
  await sleep(BEFORE_FAULT_MS);
  const faultAt = Date.now();
  if (HAS_TROUBLE) site.killAll([...site.entries, ...site.sides], DOWN_MS);
  await sleep(DOWN_MS + RECOVERY_MS + WATCHED_MS);
  const until = Date.now();
  isSending = false;
  await sending;
  const before = count(startedAt, faultAt);
  const after = count(faultAt + DOWN_MS + RECOVERY_MS, until);
  const seen =
    `${before.text} requests served before the fault; ${after.text} of those sent ` +
    `more than ${RECOVERY_MS / 1_000} s after the machines were back`;
  console.log(seen);
  return before.share >= SERVED_SHARE && after.share < SERVED_SHARE
    ? `RECOVER: ${seen}`
    : undefined;
});
