/** One run of the soak: a site, a stream of jobs, a series of faults, a calm, a verdict. */

import { appendFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { pickIndex, type JobTaskId } from "@rackspan/common";
import type { JobViolation } from "@rackspan/checker";
import { FaultPlayer } from "./FaultPlayer.js";
import { drawFaults, type FaultKind } from "./faults.js";
import { JobClient } from "./JobClient.js";
import { JobStream, type StreamedJob } from "./JobStream.js";
import { mixedRandom } from "./mixedRandom.js";
import type { Programs } from "./Programs.js";
import { RunRecorder } from "./RunRecorder.js";
import { SoakSite } from "./SoakSite.js";

const SOAK = {
  entries: 3,
  hosts: { least: 6, more: 6 },
  /** Drawn by the seed: up to this many attempts, this share of failing jobs. */
  mostAttempts: 3,
  mostFailing: 0.9,
  clients: 4,
  /** Time for the processes to start, milliseconds. */
  startMs: 30_000,
  pollMs: 250,
  /** After the last fault all jobs are to end within this, milliseconds. */
  endMs: 60_000,
  /** In calm, a task of a cancelled job is gone after this, milliseconds. */
  goneMs: 8_000,
} as const;

export interface SoakOptions {
  readonly seed: number;
  /** How long jobs and faults come. */
  readonly seconds: number;
  readonly programs: Programs;
  readonly folder: string;
  /** Series to play; drawn by the seed when undefined. */
  readonly only?: readonly FaultKind[];
}

export interface SoakResult {
  readonly runs: number;
  readonly violations: readonly JobViolation[];
  readonly accepted: number;
  readonly ended: number;
  /** Processes that ended by themselves. */
  readonly ownEnds: number;
  readonly kinds: readonly FaultKind[];
  readonly hosts: number;
  readonly maxAttempts: number;
}

export const playSoak = async (options: SoakOptions): Promise<SoakResult> => {
  const { seed, seconds, programs, folder, only } = options;
  const recorder = new RunRecorder();
  const random = mixedRandom(seed, "site");
  const hosts = SOAK.hosts.least + pickIndex(random, SOAK.hosts.more);
  const maxAttempts = 1 + pickIndex(random, SOAK.mostAttempts);
  const failingShare = SOAK.mostFailing * random.next();
  const { entries } = SOAK;
  const site = new SoakSite({
    seed,
    entries,
    hosts,
    maxAttempts,
    programs,
    folder,
    recorder,
  });
  const clients: JobClient[] = [];
  try {
    await site.start();
    for (let at = 0; at < SOAK.clients; at += 1) {
      const addresses = Array.from(
        { length: entries },
        (_, entry) => `${site.addressOfEntry(entry)}:${site.callersPort}`,
      );
      const draws = mixedRandom(seed, `client-${at}`);
      clients.push(new JobClient({ random: draws, entries: addresses }));
    }
    const [client] = clients as [JobClient];
    await untilServing(client);
    const stream = new JobStream({ seed, clients, failingShare });
    const faults = drawFaults(seed, seconds, only);
    const note = (line: string): void =>
      appendFileSync(
        join(folder, "faults.log"),
        `${new Date().toISOString()} ${line}\n`,
      );
    const streaming = stream.run();
    const faulting = new FaultPlayer(site, note).play(faults);
    await delay(seconds * 1_000);
    await Promise.all([stream.end(), streaming, faulting]);
    const ended = await judgeEnds(stream.jobs, client, recorder);
    recorder.history.checkEnds(
      maxAttempts,
      (task) => isLasting(task, stream.jobs),
      () => [],
    );
    return {
      runs: recorder.seen.length,
      violations: recorder.history.violations,
      accepted: stream.jobs.filter(({ isAccepted }) => isAccepted).length,
      ended,
      ownEnds: [...site.entries, ...site.sides].reduce(
        (sum, { ownEnds }) => sum + ownEnds,
        0,
      ),
      kinds: [...new Set(faults.map(({ kind }) => kind))],
      hosts,
      maxAttempts,
    };
  } finally {
    for (const client of clients) client.close();
    await site.stop();
    writeFileSync(join(folder, "runs.log"), recorder.lines().join("\n"));
  }
};

const untilServing = async (client: JobClient): Promise<void> => {
  const giveUpAt = performance.now() + SOAK.startMs;
  let answers = 0;
  while (answers < SOAK.entries * 2) {
    if (performance.now() > giveUpAt) throw new Error("no entry takes jobs");
    const state = await client.stateOf("0000000000000000");
    if (state === "410") answers += 1;
    else await delay(SOAK.pollMs);
  }
};

/** @returns how many accepted jobs are shown as ended, as they should be */
const judgeEnds = async (
  jobs: readonly StreamedJob[],
  client: JobClient,
  { history }: RunRecorder,
): Promise<number> => {
  const calmAt = performance.now();
  const open = new Map(
    jobs.filter(({ isAccepted }) => isAccepted).map((job) => [job.id, job]),
  );
  const accepted = open.size;
  while (open.size > 0 && performance.now() < calmAt + SOAK.endMs) {
    for (const job of [...open.values()]) {
      const state = await client.stateOf(job.id);
      if (!["completed", "failed", "cancelled"].includes(state)) continue;
      open.delete(job.id);
      if (isAllowed(state, job)) continue;
      const detail = `${job.id}, a ${job.kind} job, is shown as ${state}`;
      history.add("not-finished", performance.now(), detail);
    }
    await delay(SOAK.pollMs);
  }
  for (const { id, kind } of open.values()) {
    const detail = `${id}, a ${kind} job, has not ended`;
    history.add("not-finished", performance.now(), detail);
  }
  await delay(Math.max(0, calmAt + SOAK.goneMs - performance.now()));
  const cancelled = new Set(
    jobs.filter(({ isCancelled }) => isCancelled).map(({ id }) => id),
  );
  for (const { task, run, host, beganAt } of history.openRuns()) {
    if (!cancelled.has(jobOf(task))) continue;
    history.add("unasked", beganAt, `${task}#${run} at ${host} runs on`);
  }
  return accepted - open.size;
};

const isAllowed = (
  state: string,
  { kind, isCancelled }: StreamedJob,
): boolean => {
  if (state === "cancelled") return isCancelled;
  if (state === "failed") return kind === "failing";
  return kind !== "failing" && kind !== "lasting";
};

const jobOf = (task: JobTaskId): string => task.split(".")[0] ?? "";

const isLasting = (task: JobTaskId, jobs: readonly StreamedJob[]): boolean =>
  jobs.find(({ id }) => id === jobOf(task))?.kind === "lasting";
