/** One run of the soak: a site, jobs, series of faults, a time without faults, the checks. */

import { appendFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { pickIndex } from "@rackspan/common";
import type { JobViolation } from "@rackspan/checker";
import { FaultInjector } from "./FaultInjector.js";
import { drawFaults, type FaultKind } from "./faults.js";
import { JobClient } from "./JobClient.js";
import { JobStream, type StreamedJob } from "./JobStream.js";
import { checkOutcomes } from "./checkOutcomes.js";
import { derivedRandom } from "./derivedRandom.js";
import type { BundledPrograms } from "./BundledPrograms.js";
import { RunRecorder } from "./RunRecorder.js";
import { SoakSite } from "./SoakSite.js";

const SOAK = {
  entries: 3,
  hosts: { least: 6, more: 6 },
  /** Drawn by the seed: up to this many attempts, this share of failing jobs. */
  mostAttempts: 3,
  mostFailing: 0.9,
  /** A run of crashing jobs has this share of them. */
  crashing: 0.12,
  /** Share of the runs with such jobs. */
  withCrashing: 0.5,
  /** Share of the runs whose workers start again under their ids. */
  withOneId: 0.7,
  clients: 4,
  /** Time for the processes to start, milliseconds. */
  startMs: 30_000,
  startPollMs: 250,
} as const;

/** An id that no job of a stream has. */
const UNKNOWN_JOB = "0000000000000000";

export interface SoakOptions {
  readonly seed: number;
  /** How long jobs and faults come. */
  readonly seconds: number;
  readonly programs: BundledPrograms;
  /** For settings, logs and a record of all runs; made where it is missing. */
  readonly folder: string;
  /** Series to play; drawn by the seed when undefined. */
  readonly only?: readonly FaultKind[];
  /** Whether jobs come that crash their workers; drawn by the seed when undefined. */
  readonly crashingJobs?: boolean;
  /** Whether workers start again under their ids; drawn by the seed when undefined. */
  readonly reusesIds?: boolean;
}

/** What a seed decides besides jobs and faults. */
interface SoakParameters {
  readonly hosts: number;
  readonly maxAttempts: number;
  readonly failingShare: number;
  readonly crashingShare: number;
  readonly reusesId: boolean;
}

export interface SoakResult extends SoakParameters {
  readonly runs: number;
  readonly violations: readonly JobViolation[];
  readonly accepted: number;
  readonly ended: number;
  /** Processes that ended by themselves. */
  readonly unexpectedExits: number;
  readonly faultKinds: readonly FaultKind[];
}

export const runSoak = async (options: SoakOptions): Promise<SoakResult> => {
  const { seed, seconds, folder, only } = options;
  const mix = drawParameters(options);
  const recorder = new RunRecorder();
  const { entries } = SOAK;
  const site = new SoakSite({ ...options, ...mix, entries, recorder });
  const clients: JobClient[] = [];
  try {
    await site.start();
    clients.push(...buildClients(seed, site));
    const [client] = clients as [JobClient];
    await waitUntilServing(client);
    const faults = drawFaults(seed, seconds, only);
    const player = new FaultInjector(
      site,
      appendLinesTo(join(folder, "faults.log")),
    );
    const jobs = await submitJobs(
      options,
      mix,
      clients,
      player.injectAll(faults),
    );
    const { history, seen } = recorder;
    const ended = await checkOutcomes({ jobs, client, history, ...mix });
    return {
      ...mix,
      runs: seen.length,
      violations: history.violations,
      accepted: jobs.filter(({ isAccepted }) => isAccepted).length,
      ended,
      unexpectedExits: site.unexpectedExits,
      faultKinds: [...new Set(faults.map(({ kind }) => kind))],
    };
  } finally {
    for (const client of clients) client.close();
    await site.stop();
    writeFileSync(join(folder, "runs.log"), recorder.toLogLines().join("\n"));
  }
};

const drawParameters = ({
  seed,
  crashingJobs,
  reusesIds: oneId,
}: SoakOptions): SoakParameters => {
  const random = derivedRandom(seed, "site");
  const hasCrashes =
    crashingJobs ?? derivedRandom(seed, "crashes").next() < SOAK.withCrashing;
  return {
    hosts: SOAK.hosts.least + pickIndex(random, SOAK.hosts.more),
    maxAttempts: 1 + pickIndex(random, SOAK.mostAttempts),
    failingShare: SOAK.mostFailing * random.next(),
    crashingShare: hasCrashes ? SOAK.crashing : 0,
    reusesId: oneId ?? derivedRandom(seed, "lives").next() < SOAK.withOneId,
  };
};

const buildClients = (seed: number, site: SoakSite): JobClient[] =>
  Array.from({ length: SOAK.clients }, (_, at) => {
    const random = derivedRandom(seed, `client-${at}`);
    return new JobClient({ random, entries: site.callerAddresses });
  });

const waitUntilServing = async (client: JobClient): Promise<void> => {
  const giveUpAt = performance.now() + SOAK.startMs;
  let answers = 0;
  while (answers < SOAK.entries * 2) {
    if (performance.now() > giveUpAt) throw new Error("no entry takes jobs");
    const state = await client.stateOf(UNKNOWN_JOB);
    if (state === "410") answers += 1;
    else await delay(SOAK.startPollMs);
  }
};

/** Hands in jobs beside the faults, until both are over. */
const submitJobs = async (
  { seed, seconds }: SoakOptions,
  { failingShare, crashingShare }: SoakParameters,
  clients: readonly JobClient[],
  faulting: Promise<void>,
): Promise<readonly StreamedJob[]> => {
  const stream = new JobStream({
    seed,
    clients,
    failingShare,
    crashingShare,
  });
  const streaming = stream.run();
  await delay(seconds * 1_000);
  await Promise.all([stream.stop(), streaming, faulting]);
  return stream.jobs;
};

const appendLinesTo =
  (file: string) =>
  (line: string): void =>
    appendFileSync(file, `${new Date().toISOString()} ${line}\n`);
