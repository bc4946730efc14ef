/** Compares what a host reports with what the leader believes of it. */

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
  /** Ends that were not taken note of before, in the worker's order. */
  readonly ended: readonly EndedRun[];
  /** Runs that neither run nor have ended: lapsed, or never begun. */
  readonly vanished: readonly ActiveRun[];
  /** Tasks that run there and that the leader did not know of. */
  readonly unknown: readonly RunningTask[];
}

/**
 * Whether a run that the report does not list is not there and never will be:
 * the worker has shown it before, or could not begin it any more by then. While
 * the list of ends is cut off, its end may be among those that are not told yet.
 */
const hasVanished = (
  { at, hasMoreEnds }: HostReport,
  { phase, lastSeenAt, orderExpiresAt, stop }: ActiveRun,
): boolean => {
  if (hasMoreEnds) return false;
  if (lastSeenAt !== undefined) return at > lastSeenAt;
  const fencedAt = stop?.confirmedAt;
  if (fencedAt !== undefined && at > fencedAt) return true;
  return phase !== "starting" && at > orderExpiresAt;
};

/** A filling task that gets less than this share of what it asks for crawls. */
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

/**
 * A lasting task outlives many workers, and must not be given up for the sum of
 * them: one that works for a while has crashed none by being started.
 */
const clearLastingCrashLog = (run: ActiveRun): void => {
  const { crashLog, step } = run.task;
  if (!step.spec.lasting || crashLog.isEmpty) return;
  if (workedMs(run) < CRASH_LIMITS.clearAfterMs) return;
  crashLog.clear();
  step.job.hasUnpersistedProgress = true;
};

/** Brings the ledger's runs up to date; what needs a decision is returned. */
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
