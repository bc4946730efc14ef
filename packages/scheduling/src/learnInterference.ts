/**
 * Feeds a host's readings into the interference estimator, and selects the weights that
 * are sent to its side.
 */

import {
  groupBy,
  MILLI_CORES_PER_CORE,
  type Monotonic,
} from "@rackspan/common";
import {
  interferenceProfileOf,
  type ActiveRun,
  type FillingCores,
  type HostState,
  type InterferenceEstimator,
  type ServingLoadForecaster,
} from "@rackspan/jobs";
import type { InterferenceWeight } from "@rackspan/protocol";
import type { ImageName } from "@rackspan/state";

/** Progress of a lasting task that is at work, percent. */
export const FULL_PROGRESS = 100;
/** A reading covers the half second before its report, so its middle is this old, milliseconds. */
export const READING_MIDDLE_MS = 250;
/** Weights are sent with three decimal places. */
const WEIGHT_STEPS = 1_000;
/** Minimum tail as a share of its target; differences below it are noise. */
const MIN_TAIL_SHARE = 0.05;
/** Pairs with lower weights are not sent. */
const MIN_SENT_WEIGHT = 0.01;

export interface LearnedModels {
  readonly estimator: InterferenceEstimator;
  readonly servingLoads: ServingLoadForecaster;
}

/** Reads the host's runs as of its last report. */
export const learnInterference = (
  hostState: HostState,
  { estimator, servingLoads }: LearnedModels,
  now: Monotonic,
): void => {
  const runs = [...hostState.runs.values()];
  const usedCores = usedCoresOf(runs);
  const tails = new Map<ImageName, number>();
  for (const [image, serving] of groupBy(runs.filter(hasTail), imageOf)) {
    const readings = serving.map(logarithmOfTail);
    const mean = readings.reduce((a, b) => a + b) / readings.length;
    const taskCount = serving.length;
    estimator.learn(image, {
      at: now,
      tail: mean,
      taskCount,
      colocatedCores: usedCores,
    });
    let undisturbed = mean;
    for (const [filling, cores] of usedCores)
      undisturbed -= estimator.weight(image, filling) * cores;
    servingLoads.learn(image, now - READING_MIDDLE_MS, undisturbed);
    tails.set(image, Math.max(...readings));
  }
  hostState.readings = { tails, usedCores };
};

const imageOf = ({ task }: ActiveRun): ImageName => task.step.spec.image;

/** Returns the cores that the filling runs use, by image. */
const usedCoresOf = (runs: readonly ActiveRun[]): FillingCores => {
  const usedCores = new Map<ImageName, number>();
  for (const run of runs) {
    if (interferenceProfileOf(run.task).kind !== "filling") continue;
    const cores = run.reading / MILLI_CORES_PER_CORE;
    usedCores.set(imageOf(run), (usedCores.get(imageOf(run)) ?? 0) + cores);
  }
  return usedCores;
};

/** Tasks that are still warming up have no valid tail latency yet. */
const hasTail = ({ task, progressPercent }: ActiveRun): boolean =>
  interferenceProfileOf(task).kind === "serving" &&
  progressPercent >= FULL_PROGRESS;

/** Returns the natural logarithm of the tail as a share of its target. */
const logarithmOfTail = ({ task, reading }: ActiveRun): number => {
  const tail = reading / task.step.spec.tailTargetMs;
  return Math.log(Math.max(MIN_TAIL_SHARE, tail));
};

/** Returns the learned weights of the pairs of images that run on the host now. */
export const disturbancesFor = (
  hostState: HostState,
  estimator: InterferenceEstimator,
): InterferenceWeight[] => {
  const weights: InterferenceWeight[] = [];
  for (const serving of hostState.servingImages) {
    for (const filling of hostState.fillingCores.keys()) {
      const weight =
        Math.round(estimator.weight(serving, filling) * WEIGHT_STEPS) /
        WEIGHT_STEPS;
      if (weight < MIN_SENT_WEIGHT) continue;
      weights.push({ serving, filling, weight });
    }
  }
  return weights;
};
