/** One soak run: starts a site, submits jobs under faults, and checks the outcomes after the faults. */

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
import type { StoreLimits } from "./settings.js";
import { SoakSite } from "./SoakSite.js";

const SOAK = {
  entries: 3,
  hosts: { min: 6, range: 6 },
  /** Upper bounds of the attempts of a task and of the share of failing jobs, both drawn from the seed. */
  maxAttempts: 3,
  maxFailingShare: 0.9,
  /** Share of crashing jobs in the runs that have them. */
  crashingJobShare: 0.12,
  /** Share of the runs that have crashing jobs. */
  crashingRunShare: 0.5,
  /** Share of the runs whose workers reuse their ids when they start again. */
  reusedIdShare: 0.7,
  /** Share of the runs whose store accepts only small records, and those sizes, bytes. */
  smallRecordsShare: 0.4,
  smallRecords: { recordBytes: 1_600, callBytes: 16_000 },
  /** Share of the runs whose entries have slow links to the store; 1.4 Mbit/s. */
  slowLinkShare: 0.3,
  slowLinkBytesPerInterval: 3_500,
  /** Enough for a configuration that takes longer than a call's time-out on a slow link. */
  slowLinkQueues: 3_000,
  clients: 4,
  /** Timeout for the start of all processes, milliseconds. */
  startTimeoutMs: 30_000,
  startPollMs: 250,
} as const;

/** A job id that no stream uses. */
const UNKNOWN_JOB = "0000000000000000";

export interface SoakOptions {
  readonly seed: number;
  /** How long jobs are submitted and faults are injected, in seconds. */
  readonly seconds: number;
  readonly programs: BundledPrograms;
  /** Folder for settings, logs and the record of all runs; created if missing. */
  readonly folder: string;
  /** Fault series to include; drawn from the seed when undefined. */
  readonly only?: readonly FaultKind[];
  /** Whether some jobs crash their workers; drawn from the seed when undefined. */
  readonly crashingJobs?: boolean;
  /** Whether workers reuse their ids when they start again; drawn from the seed when undefined. */
  readonly reusesIds?: boolean;
  /** Whether the store accepts only small records; drawn from the seed when undefined. */
  readonly hasSmallRecords?: boolean;
  /** Whether entries have slow links to the store; drawn from the seed when undefined. */
  readonly hasSlowLinks?: boolean;
}

/** Parameters that a seed determines besides jobs and faults. */
interface SoakParameters {
  readonly hosts: number;
  readonly maxAttempts: number;
  readonly failingShare: number;
  readonly crashingShare: number;
  readonly reusesId: boolean;
  readonly storeLimits: StoreLimits | undefined;
  readonly linkBytesPerInterval: number | undefined;
  readonly idleQueues: number;
}

export interface SoakResult extends SoakParameters {
  readonly runs: number;
  readonly violations: readonly JobViolation[];
  readonly accepted: number;
  readonly ended: number;
  /** How often processes exited without being stopped. */
  readonly unexpectedExits: number;
  readonly faultKinds: readonly FaultKind[];
}

export const runSoak = async (options: SoakOptions): Promise<SoakResult> => {
  const { seed, seconds, folder, only } = options;
  const parameters = drawParameters(options);
  const recorder = new RunRecorder();
  const { entries } = SOAK;
  const site = new SoakSite({ ...options, ...parameters, entries, recorder });
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
      parameters,
      clients,
      player.injectAll(faults),
    );
    const { history, seen } = recorder;
    const ended = await checkOutcomes({ jobs, client, history, ...parameters });
    return {
      ...parameters,
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
  reusesIds,
  hasSmallRecords,
  hasSlowLinks,
}: SoakOptions): SoakParameters => {
  const random = derivedRandom(seed, "site");
  const hasCrashes =
    crashingJobs ??
    derivedRandom(seed, "crashes").next() < SOAK.crashingRunShare;
  const isSlow =
    hasSlowLinks ?? derivedRandom(seed, "links").next() < SOAK.slowLinkShare;
  const isSmall =
    hasSmallRecords ??
    derivedRandom(seed, "records").next() < SOAK.smallRecordsShare;
  return {
    hosts: SOAK.hosts.min + pickIndex(random, SOAK.hosts.range),
    maxAttempts: 1 + pickIndex(random, SOAK.maxAttempts),
    failingShare: SOAK.maxFailingShare * random.next(),
    crashingShare: hasCrashes ? SOAK.crashingJobShare : 0,
    reusesId:
      reusesIds ?? derivedRandom(seed, "lives").next() < SOAK.reusedIdShare,
    // A large configuration does not fit into a small record.
    storeLimits: isSmall && !isSlow ? SOAK.smallRecords : undefined,
    linkBytesPerInterval: isSlow ? SOAK.slowLinkBytesPerInterval : undefined,
    idleQueues: isSlow ? SOAK.slowLinkQueues : 0,
  };
};

const buildClients = (seed: number, site: SoakSite): JobClient[] =>
  Array.from({ length: SOAK.clients }, (_, at) => {
    const random = derivedRandom(seed, `client-${at}`);
    return new JobClient({ random, entries: site.callerAddresses });
  });

const waitUntilServing = async (client: JobClient): Promise<void> => {
  const deadline = performance.now() + SOAK.startTimeoutMs;
  let servingAnswers = 0;
  while (servingAnswers < SOAK.entries * 2) {
    if (performance.now() > deadline)
      throw new Error("no entry serves the job queue");
    const state = await client.stateOf(UNKNOWN_JOB);
    if (state === "410") servingAnswers += 1;
    else await delay(SOAK.startPollMs);
  }
};

/** Submits jobs while faults are injected; resolves when both have ended. */
const submitJobs = async (
  { seed, seconds }: SoakOptions,
  { failingShare, crashingShare }: SoakParameters,
  clients: readonly JobClient[],
  faultsEnded: Promise<void>,
): Promise<readonly StreamedJob[]> => {
  const stream = new JobStream({
    seed,
    clients,
    failingShare,
    crashingShare,
  });
  const streaming = stream.run();
  await delay(seconds * 1_000);
  await Promise.all([stream.stop(), streaming, faultsEnded]);
  return stream.jobs;
};

const appendLinesTo =
  (file: string) =>
  (line: string): void =>
    appendFileSync(file, `${new Date().toISOString()} ${line}\n`);
