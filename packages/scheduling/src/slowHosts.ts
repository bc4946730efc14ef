/** Tells hosts that are slow from tasks that are long, by the progress of plain tasks. */

import { natureOf, type ActiveRun, type HostLedger } from "@rackspan/jobs";
import type { Monotonic } from "@rackspan/common";
import type { EstimateBook } from "./EstimateBook.js";

export const SLOWNESS = {
  /** Run time before which progress says too little, milliseconds. */
  leastRunMs: 400,
  /** Weight of one reading in the moving mean. */
  weight: 0.15,
  /** A single reading counts as at most this, either way. */
  maxReading: 2.5,
  /** From here on a host is slow (2.7 times as long as expected). */
  slowFrom: 1,
  /** Another host is worth moving to when its slowness is lower by this. */
  clearlyFaster: 0.7,
  /** A task is moved off a slow host when a fresh run elsewhere is this much shorter. */
  moveGain: 1.5,
  /** Points a unit of slowness by which a host comes later. */
  penalty: 2,
} as const;

const isMeasured = (run: ActiveRun, now: Monotonic): boolean => {
  const { lasting } = run.task.step.spec;
  if (run.phase !== "running" || lasting) return false;
  if (natureOf(run.task).kind !== "plain") return false;
  // A run that goes on from a checkpoint shows progress of earlier runs.
  if (run.task.checkpoint !== "") return false;
  return now - run.startedAt >= SLOWNESS.leastRunMs;
};

/** Run time of the whole task at the pace that its progress shows. */
const projectedMs = (run: ActiveRun, now: Monotonic): number =>
  ((now - run.startedAt) * 100) / Math.max(1, run.progressPercent);

/** Reads the host's runs as the last report left them. */
export const learnSlowness = (
  ledger: HostLedger,
  estimates: EstimateBook,
  now: Monotonic,
): void => {
  for (const run of ledger.runs.values()) {
    if (!isMeasured(run, now)) continue;
    const expectedMs = estimates.taskMs(run.task.step);
    const reading = Math.log(projectedMs(run, now) / expectedMs);
    const bounded = Math.max(
      -SLOWNESS.maxReading,
      Math.min(SLOWNESS.maxReading, reading),
    );
    ledger.slowness += SLOWNESS.weight * (bounded - ledger.slowness);
  }
};

/** Points by which a placer puts the host later. */
export const slownessPenalty = ({ slowness }: HostLedger): number =>
  SLOWNESS.penalty * Math.max(0, slowness);

/** Runs of a slow host that would end sooner if they began anew elsewhere. */
export const runsToMove = (
  ledger: HostLedger,
  estimates: EstimateBook,
  now: Monotonic,
): ActiveRun[] => {
  if (ledger.slowness < SLOWNESS.slowFrom) return [];
  return [...ledger.runs.values()].filter((run) => {
    if (!isMeasured(run, now)) return false;
    if (run.task.avoid.includes(ledger.host)) return false;
    const leftMs = projectedMs(run, now) - (now - run.startedAt);
    return leftMs > SLOWNESS.moveGain * estimates.taskMs(run.task.step);
  });
};
