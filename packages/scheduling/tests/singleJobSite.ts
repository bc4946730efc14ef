/** A test site for a single job, with accessors for its persisted progress and its task's host. */

import type { Logger } from "@rackspan/common";
import {
  decodeProgress,
  TOPICS,
  type CrashEvidence,
  type ProgressRecord,
} from "@rackspan/state";
import { EngineHarness, taskId, type FakeHost } from "./engineHarness.js";

export const JOB = "5c0e7a21d94b36f8";
export const TASK = taskId(`${JOB}.0.0.0`);

export const createSite = async (
  count: number,
  logger?: Logger,
): Promise<EngineHarness> => {
  const site = new EngineHarness({ logger });
  for (let number = 1; number <= count; number += 1) {
    await site.addHost(`h${number}`);
  }
  return site;
};

/** The newest progress record of the job in the store. */
export const progressOf = (
  site: EngineHarness,
  id = JOB,
): ProgressRecord | undefined => {
  const record = site.store
    .recordsOf(TOPICS.progress)
    .findLast(({ key }) => key === id);
  return record?.value && decodeProgress(id, record.value);
};

export const stateOf = (site: EngineHarness, id = JOB): string | undefined =>
  progressOf(site, id)?.state;

/** Persisted crash evidence of all tasks of the job, in order. */
export const evidenceOf = (
  site: EngineHarness,
  id = JOB,
): readonly CrashEvidence[] =>
  (progressOf(site, id)?.crashes ?? []).flatMap(([, runs]) =>
    runs.map(([, evidence]) => evidence),
  );

/** Advances the clock until the task runs and returns its host. */
export const hostOfTask = async (site: EngineHarness): Promise<FakeHost> => {
  for (let tries = 0; tries < 200; tries += 1) {
    const host = site.hosts.find((one) => one.isRunning(TASK));
    if (host) return host;
    await site.run(50);
  }
  throw new Error("the task was not started");
};
