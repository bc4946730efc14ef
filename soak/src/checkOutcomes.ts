/** Checks after the faults: whether jobs end as they should, and which runs are left over. */

import { setTimeout as delay } from "node:timers/promises";
import type { JobTaskId } from "@rackspan/common";
import type { RunHistory } from "@rackspan/checker";
import type { JobClient } from "./JobClient.js";
import type { StreamedJob } from "./JobStream.js";

const CHECK_TIMES = {
  pollMs: 250,
  /** Time within which all jobs must have ended, milliseconds. */
  finishMs: 60_000,
  /** Time after which no task of a cancelled job may run, milliseconds. */
  stoppedMs: 8_000,
} as const;

const FINAL_STATES = ["completed", "failed", "cancelled"];

export interface SoakOutcome {
  readonly jobs: readonly StreamedJob[];
  readonly client: JobClient;
  readonly history: RunHistory;
  readonly maxAttempts: number;
}

/** @returns how many accepted jobs are reported in a final state */
export const checkOutcomes = async (run: SoakOutcome): Promise<number> => {
  const faultsEndedAt = performance.now();
  const ended = await checkFinalStates(
    run,
    faultsEndedAt + CHECK_TIMES.finishMs,
  );
  await delay(
    Math.max(0, faultsEndedAt + CHECK_TIMES.stoppedMs - performance.now()),
  );
  checkCancelledTasksStopped(run);
  checkRecordedEnds(run);
  checkCrashLimits(run);
  return ended;
};

const checkFinalStates = async (
  { jobs, client, history }: SoakOutcome,
  deadline: number,
): Promise<number> => {
  const accepted = jobs.filter(({ isAccepted }) => isAccepted);
  const open = new Set(accepted);
  const addViolation = (job: StreamedJob, what: string): void =>
    history.add(
      "not-finished",
      performance.now(),
      `job ${job.id} of kind ${job.kind} ${what}`,
    );
  while (open.size > 0 && performance.now() < deadline) {
    for (const job of [...open]) {
      const state = await client.stateOf(job.id);
      if (!FINAL_STATES.includes(state)) continue;
      open.delete(job);
      if (!isAllowed(state, job, history))
        addViolation(job, `is unexpectedly in state ${state}`);
    }
    await delay(CHECK_TIMES.pollMs);
  }
  for (const job of open) addViolation(job, "has not ended in time");
  return accepted.length - open.size;
};

/** Number of workers crashed under a task, by whatever cause, from which on it may fail permanently. */
const MIN_CRASHES_TO_FAIL = 2;

const isAllowed = (
  state: string,
  { id, kind, isCancelled }: StreamedJob,
  history: RunHistory,
): boolean => {
  if (state === "cancelled") return isCancelled;
  const cannotComplete = kind === "failing" || kind === "crashing";
  if (state === "failed") {
    return cannotComplete || history.maxTaskCrashes(id) >= MIN_CRASHES_TO_FAIL;
  }
  return !cannotComplete && kind !== "lasting";
};

const checkCancelledTasksStopped = ({ jobs, history }: SoakOutcome): void => {
  const cancelled = jobs.filter(({ isCancelled }) => isCancelled);
  const ids = new Set(cancelled.map(({ id }) => id));
  for (const { task, run, host, beganAt } of history.openRuns()) {
    if (!ids.has(jobOf(task))) continue;
    history.add(
      "unasked",
      beganAt,
      `${task}#${run} on ${host} still runs after its job was cancelled`,
    );
  }
};

const checkRecordedEnds = ({
  jobs,
  history,
  maxAttempts,
}: SoakOutcome): void => {
  const lasting = jobs.filter(({ kind }) => kind === "lasting");
  const ids = new Set(lasting.map(({ id }) => id));
  const noGang = (): readonly JobTaskId[] => [];
  history.checkEnds(maxAttempts, (task) => ids.has(jobOf(task)), noGang);
};

/** Checks that no task is started three more times after three workers have crashed under it. */
const checkCrashLimits = ({ jobs, history }: SoakOutcome): void => {
  for (const { id, kind } of jobs) {
    if (kind === "crashing") history.checkCrashes(`${id}.0.0.0` as JobTaskId);
  }
};

const jobOf = (task: JobTaskId): string => task.split(".")[0] ?? "";
