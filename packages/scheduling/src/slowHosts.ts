/**
 * Tells hosts that are slow from tasks that are long: tasks of one step are
 * alike, so a host is slow where its tasks fall behind those of the same step on
 * other hosts. Estimates of callers are too far off to compare with.
 */

import { natureOf, type ActiveRun, type HostState } from "@rackspan/jobs";
import type { Monotonic } from "@rackspan/common";
import type { HostEntry } from "./engineTypes.js";
import type { HostRegistry } from "./HostRegistry.js";

export const SLOWNESS = {
  /** Run time before which progress says too little, milliseconds. */
  minRunMs: 400,
  /** Tasks of the step on other hosts that a reading needs. */
  minSiblings: 2,
  /** Weight of one reading in the moving mean. */
  weight: 0.15,
  /** A single reading counts as at most this, either way. */
  maxReading: 2.5,
  /** From here on a host is slow (2.7 times as long as expected). */
  slowThreshold: 1,
  /** Another host is worth moving to when its slowness is lower by this. */
  minAdvantage: 0.7,
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
  return now - run.startedAt >= SLOWNESS.minRunMs;
};

/** Run time of the whole task at the pace that its progress shows. */
const projectedMs = (run: ActiveRun, now: Monotonic): number =>
  ((now - run.startedAt) * 100) / Math.max(1, run.progressPercent);

/** Median of the projected run times of the step's tasks on other hosts. */
const siblingMs = (
  run: ActiveRun,
  host: HostEntry,
  hosts: HostRegistry,
  now: Monotonic,
): number | undefined => {
  const siblings = hosts
    .placedRunsOf(run.task.step.tasks)
    .filter((other) => other.host !== host && isMeasured(other.run, now))
    .map((other) => projectedMs(other.run, now))
    .sort((a, b) => a - b);
  if (siblings.length < SLOWNESS.minSiblings) return undefined;
  return siblings[Math.floor(siblings.length / 2)];
};

/** Reads the host's runs as the last report left them. */
export const updateSlowness = (
  host: HostEntry,
  hosts: HostRegistry,
  now: Monotonic,
): void => {
  const { ledger } = host;
  for (const run of ledger.runs.values()) {
    if (!isMeasured(run, now)) continue;
    const expectedMs = siblingMs(run, host, hosts, now);
    if (expectedMs === undefined) continue;
    const reading = Math.log(projectedMs(run, now) / expectedMs);
    const bounded = Math.max(
      -SLOWNESS.maxReading,
      Math.min(SLOWNESS.maxReading, reading),
    );
    ledger.slowness += SLOWNESS.weight * (bounded - ledger.slowness);
  }
};

/** Points by which a placer puts the host later. */
export const slownessPenalty = ({ slowness }: HostState): number =>
  SLOWNESS.penalty * Math.max(0, slowness);

/** Runs of a slow host that would end sooner if they began anew elsewhere. */
export const runsToMove = (
  host: HostEntry,
  hosts: HostRegistry,
  now: Monotonic,
): ActiveRun[] => {
  const { ledger } = host;
  if (ledger.slowness < SLOWNESS.slowThreshold) return [];
  return [...ledger.runs.values()].filter((run) => {
    if (!isMeasured(run, now)) return false;
    if (run.task.avoidedHosts.includes(ledger.host)) return false;
    const freshMs = siblingMs(run, host, hosts, now);
    if (freshMs === undefined) return false;
    const leftMs = projectedMs(run, now) - (now - run.startedAt);
    return leftMs > SLOWNESS.moveGain * freshMs;
  });
};
