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
  {
    phase,
    lastSeenAt: answeredAt,
    orderExpiresAt: orderLapsesAt,
    stop,
  }: ActiveRun,
): boolean => {
  if (hasMoreEnds) return false;
  if (answeredAt !== undefined) return at > answeredAt;
  const barredAt = stop?.confirmedAt;
  if (barredAt !== undefined && at > barredAt) return true;
  return phase !== "starting" && at > orderLapsesAt;
};

/** A filling task that gets less than this share of what it asks for crawls. */
const CRAWL_SHARE = 0.35;

const crawls = ({ task, reading }: ActiveRun): boolean => {
  const { filling, demand } = task.step.spec;
  return filling && reading < CRAWL_SHARE * demand.milliCores;
};

const noteReading = (
  run: ActiveRun,
  row: RunningTask,
  now: Monotonic,
): void => {
  if (row.progressPercent > run.progressPercent) run.progressedAt = now;
  run.progressPercent = row.progressPercent;
  run.reading = row.reading;
  run.crawlingSince = crawls(run) ? (run.crawlingSince ?? now) : undefined;
  run.task.step.job.recordCheckpoint(run.task, row.checkpoint);
};

/**
 * A lasting task outlives many workers, and must not be given up for the sum of
 * them: one that works for a while has crashed none by being started.
 */
const clearLasting = (run: ActiveRun): void => {
  const { crashLog: crashes, step } = run.task;
  if (!step.spec.lasting || crashes.isEmpty) return;
  if (workedMs(run) < CRASH_LIMITS.clearAfterMs) return;
  crashes.clear();
  step.job.hasUnpersistedProgress = true;
};

/** Brings the ledger's runs up to date; what needs a decision is returned. */
export const reconcileReport = (
  ledger: HostState,
  report: HostReport,
  now: Monotonic,
): ReportChanges => {
  const ended = report.ended
    .filter(({ number }) => number > ledger.processedEnds)
    .sort((a, b) => a.number - b.number);
  const endedRuns = new Set(ended.map(runKeyOf));
  const rows = new Map(report.running.map((row) => [runKeyOf(row), row]));
  const vanished: ActiveRun[] = [];
  for (const [key, run] of ledger.runs) {
    const row = rows.get(key);
    if (row) {
      rows.delete(key);
      noteReading(run, row, now);
      markSeen(run, report.at);
      clearLasting(run);
      if (run.phase === "starting" || run.phase === "unsure") {
        run.phase = "running";
      }
      continue;
    }
    if (endedRuns.has(key)) continue;
    if (hasVanished(report, run)) vanished.push(run);
  }
  const last = ended.at(-1);
  if (last) ledger.processedEnds = last.number;
  ledger.reportedAt = report.at;
  ledger.reportReceivedAt = now;
  return { ended, vanished, unknown: [...rows.values()] };
};
