/**
 * Distinguishes slow hosts from long tasks. Tasks of one step are alike, so a host is
 * slow if its tasks progress more slowly than those of the same step on other hosts.
 * Callers' estimates are too inaccurate for the comparison.
 */

import {
  interferenceProfileOf,
  type ActiveRun,
  type HostState,
  type StepRun,
} from "@rackspan/jobs";
import type { Monotonic } from "@rackspan/common";
import type { HostEntry } from "./engineTypes.js";
import type { HostRegistry } from "./HostRegistry.js";

export const SLOWNESS = {
  /** Minimum run time for a meaningful progress, milliseconds. */
  minRunMs: 400,
  /** Minimum number of tasks of the step on other hosts for a reading. */
  minSiblings: 2,
  /** Weight of one reading in the moving mean. */
  weight: 0.15,
  /** Maximum absolute value of a single reading. */
  maxReading: 2.5,
  /** Slowness from which a host counts as slow (2.7 times the expected run time). */
  slowThreshold: 1,
  /** Minimum difference in slowness for moving tasks to another host. */
  minAdvantage: 0.7,
  /**
   * A task is moved off a slow host if its remaining time exceeds this many times that
   * of a new run elsewhere.
   */
  moveGain: 1.5,
  /** Score penalty per unit of slowness. */
  penalty: 2,
} as const;

const isMeasured = (run: ActiveRun, now: Monotonic): boolean => {
  const { lasting } = run.task.step.spec;
  if (run.phase !== "running" || lasting) return false;
  if (interferenceProfileOf(run.task).kind !== "plain") return false;
  // A run that continued from a checkpoint shows the progress of earlier runs.
  if (run.task.checkpoint !== "") return false;
  return now - run.startedAt >= SLOWNESS.minRunMs;
};

/** Returns the run time of the whole task, extrapolated from its progress. */
const projectedMs = (run: ActiveRun, now: Monotonic): number =>
  ((now - run.startedAt) * 100) / Math.max(1, run.progressPercent);

/** Returns the median of the projected run times of the step's tasks on other hosts. */
const siblingMs = (
  step: StepRun,
  host: HostEntry,
  hosts: HostRegistry,
  now: Monotonic,
): number | undefined => {
  const siblings = hosts
    .placedRunsOf(step.tasks)
    .filter((other) => other.host !== host && isMeasured(other.run, now))
    .map((other) => projectedMs(other.run, now))
    .sort((a, b) => a - b);
  if (siblings.length < SLOWNESS.minSiblings) return undefined;
  return siblings[Math.floor(siblings.length / 2)];
};

/**
 * Computes the siblings' median once for each step: a host may run a thousand tasks of one
 * step, which has thousands.
 */
const siblingMsByStep = (
  host: HostEntry,
  hosts: HostRegistry,
  now: Monotonic,
): ((step: StepRun) => number | undefined) => {
  const medians = new Map<StepRun, number | undefined>();
  return (step) => {
    if (!medians.has(step))
      medians.set(step, siblingMs(step, host, hosts, now));
    return medians.get(step);
  };
};

/** Updates the host's slowness from its runs as of its last report. */
export const updateSlowness = (
  host: HostEntry,
  hosts: HostRegistry,
  now: Monotonic,
): void => {
  const { hostState } = host;
  const expectedMsOf = siblingMsByStep(host, hosts, now);
  for (const run of hostState.runs.values()) {
    if (!isMeasured(run, now)) continue;
    const expectedMs = expectedMsOf(run.task.step);
    if (expectedMs === undefined) continue;
    const reading = Math.log(projectedMs(run, now) / expectedMs);
    const bounded = Math.max(
      -SLOWNESS.maxReading,
      Math.min(SLOWNESS.maxReading, reading),
    );
    hostState.slowness += SLOWNESS.weight * (bounded - hostState.slowness);
  }
};

/** Returns the score penalty of the host for its slowness. */
export const slownessPenalty = ({ slowness }: HostState): number =>
  SLOWNESS.penalty * Math.max(0, slowness);

/**
 * Returns the runs of a slow host that would end sooner if they were restarted
 * elsewhere.
 */
export const runsToMove = (
  host: HostEntry,
  hosts: HostRegistry,
  now: Monotonic,
): ActiveRun[] => {
  const { hostState } = host;
  if (hostState.slowness < SLOWNESS.slowThreshold) return [];
  const freshMsOf = siblingMsByStep(host, hosts, now);
  return [...hostState.runs.values()].filter((run) => {
    if (!isMeasured(run, now)) return false;
    if (run.task.avoidedHosts.includes(hostState.host)) return false;
    const freshMs = freshMsOf(run.task.step);
    if (freshMs === undefined) return false;
    const leftMs = projectedMs(run, now) - (now - run.startedAt);
    return leftMs > SLOWNESS.moveGain * freshMs;
  });
};
