/** Computes how much of the work of a run is lost when the run does not end as done. */

import {
  MILLI_CORES_PER_CORE,
  type Metrics,
  type Monotonic,
} from "@rackspan/common";
import { isStarted, type ActiveRun } from "@rackspan/jobs";
import type { RuntimeEstimator } from "./RuntimeEstimator.js";

/**
 * Returns the core-milliseconds since the last checkpoint, or since the start if there
 * is none. Lasting tasks discard nothing.
 *
 * @param isSaved whether the run saved a checkpoint at its end
 */
export const discardedWork = (
  run: ActiveRun,
  now: Monotonic,
  isSaved: boolean,
): number => {
  const { lasting, demand } = run.task.step.spec;
  if (lasting || isSaved || !isStarted(run)) return 0;
  const since = run.checkpointedAt ?? run.startedAt;
  return (Math.max(0, now - since) * demand.milliCores) / MILLI_CORES_PER_CORE;
};

/** Counts discarded work by the reason for which the run ended. */
export const countDiscardedWork = (
  metrics: Metrics,
  reason: string,
  work: number,
): void => {
  if (work > 0) metrics.count("work_thrown_away_core_ms", { reason }, work);
};

/**
 * Whether stopping a run without checkpoints loses no more time than it has stood
 * still: the work that is discarded takes as long again elsewhere. The progress of the
 * run counts, since a run that stands still discards nothing by that.
 */
export const isStopWorthwhile = (
  { task, progressPercent, progressedAt }: ActiveRun,
  estimates: RuntimeEstimator,
  knownUntil: Monotonic,
): boolean => {
  if (task.step.spec.checkpointing) return true;
  const lostMs = (progressPercent / 100) * estimates.taskMs(task.step);
  return lostMs <= knownUntil - progressedAt;
};
