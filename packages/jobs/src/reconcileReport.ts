/** Reconciles the report of a host with the leader's state of it. */

import type { Monotonic } from "@rackspan/common";
import type { HostReport } from "@rackspan/protocol";
import { runKeyOf, type EndedRun, type RunningTask } from "@rackspan/ports";
import { CRASH_LIMITS } from "./CrashLog.js";
import {
  markSeen,
  workedMs,
  type ActiveRun,
  type HostState,
} from "./HostState.js";

export interface ReportChanges {
  /** Ends that were not processed before, in the worker's order. */
  readonly ended: readonly EndedRun[];
  /** Runs that are neither running nor listed as ended: they lapsed or never started. */
  readonly vanished: readonly ActiveRun[];
  /** Running tasks that the leader has no run for. */
  readonly unknown: readonly RunningTask[];
}

/**
 * Whether a run that the report does not list is gone and cannot start any more: the
 * worker has reported it before, or its order had expired or was fenced by a stop at the
 * time of the report. If the list of ends is truncated, nothing is concluded, as the
 * run's end may be among those not listed yet.
 */
const hasVanished = (
  { at, hasMoreEnds }: HostReport,
  { phase, lastSeenAt, orderExpiresAt, stop }: ActiveRun,
): boolean => {
  if (hasMoreEnds) return false;
  if (lastSeenAt !== undefined) return at > lastSeenAt;
  const fencedAt = stop?.confirmedAt;
  if (fencedAt !== undefined && at > fencedAt) return true;
  if (phase === "unsent") return false;
  return phase !== "starting" && at > orderExpiresAt;
};

/** Time that a reading covers, milliseconds; the first one of a run covers less work. */
const READING_MS = 500;

/** A filling task crawls if it gets less than this share of the cores that it requests. */
const CRAWL_SHARE = 0.35;

const isCrawling = ({ task, reading }: ActiveRun): boolean => {
  const { filling, demand } = task.step.spec;
  return filling && reading < CRAWL_SHARE * demand.milliCores;
};

const updateReading = (
  run: ActiveRun,
  row: RunningTask,
  now: Monotonic,
): void => {
  if (row.progressPercent > run.progressPercent) run.progressedAt = now;
  run.progressPercent = row.progressPercent;
  run.reading = row.reading;
  run.crawlingSince = isCrawling(run) ? (run.crawlingSince ?? now) : undefined;
  run.task.step.job.recordCheckpoint(run.task, row.checkpoint);
};

const recordPace = ({ meanPace, task, reading }: ActiveRun): void => {
  const { filling, demand } = task.step.spec;
  if (filling) meanPace.record(reading, demand.milliCores);
};

/**
 * Clears the crash log of a lasting task that has worked for `clearAfterMs`. A lasting task
 * outlives many workers and must not fail permanently because of their total number; a
 * run that works for that long did not crash its worker by starting.
 */
const clearLastingCrashLog = (run: ActiveRun): void => {
  const { crashLog, step } = run.task;
  if (!step.spec.lasting || crashLog.isEmpty) return;
  if (workedMs(run) < CRASH_LIMITS.clearAfterMs) return;
  crashLog.clear();
  step.job.hasUnpersistedProgress = true;
};

/** Updates the runs of the host from its report and returns the changes that need a decision. */
export const reconcileReport = (
  host: HostState,
  report: HostReport,
  now: Monotonic,
): ReportChanges => {
  const ended = report.ended
    .filter(({ number }) => number > host.processedEnds)
    .sort((a, b) => a.number - b.number);
  const endedRuns = new Set(ended.map(runKeyOf));
  const rows = new Map(report.running.map((row) => [runKeyOf(row), row]));
  const vanished: ActiveRun[] = [];
  for (const [key, run] of host.runs) {
    const row = rows.get(key);
    if (row) {
      rows.delete(key);
      updateReading(run, row, now);
      markSeen(run, report.at);
      if (workedMs(run) >= READING_MS) recordPace(run);
      clearLastingCrashLog(run);
      if (run.phase === "starting" || run.phase === "unsure") {
        run.phase = "running";
      }
      continue;
    }
    if (endedRuns.has(key)) continue;
    if (hasVanished(report, run)) vanished.push(run);
  }
  const last = ended.at(-1);
  if (last) host.processedEnds = last.number;
  host.reportedAt = report.at;
  host.reportReceivedAt = now;
  return { ended, vanished, unknown: [...rows.values()] };
};
