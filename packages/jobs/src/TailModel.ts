/**
 * Learns how much each image of filling tasks raises the tail latency of one image of
 * serving tasks. The logarithm of a tail latency relative to its target is modelled as a
 * base plus a weight per core that each colocated filling image uses. A Kalman filter
 * estimates the base and the weights: readings with different combinations of images
 * separate the effects of the images.
 *
 * The model is soft state: a new leader restores what the previous one has persisted, if
 * anything, and learns the rest again within seconds.
 */

import { MS_PER_SECOND, type Monotonic } from "@rackspan/common";
import type { ImageName } from "@rackspan/state";

/** The values are explained in docs/CAPACITY.md, "How values were found". */
export const TAIL_MODEL = {
  /** Initial logarithm of the undisturbed tail latency relative to its target (0.42). */
  initialBase: -0.87,
  /** Standard deviation of the initial base; it covers more than the swing of the load. */
  baseDeviation: 0.4,
  /** Weight of a pair without readings, logarithm per core. */
  initialWeight: 0.03,
  /** Standard deviation of the initial weight; weights of 0.2 are common. */
  weightDeviation: 0.1,
  /** Variance of one task's reading given the load of its image. */
  taskVariance: 0.06,
  /** Part of `taskVariance` that the tasks of one host share. */
  hostVariance: 0.03,
  /** Variance that a weight gains from one reading to the next. */
  driftVariance: 3e-5,
  /**
   * Variance that the base gains per second. The load of an image changes on all hosts at
   * once, so its tail latencies rise and fall together. With a fixed base such a change
   * would be attributed to the filling tasks.
   */
  baseDriftVariance: 0.02,
  /** Errors are limited to this many standard deviations because readings have outliers. */
  maxDeviations: 2,
  /** Bounds of the weights, logarithm per core. */
  minWeight: -0.02,
  maxWeight: 0.8,
  /** Images that use fewer cores than this in a reading are ignored. */
  minCores: 0.05,
  /** Limit of filling images in a model; the least recently seen one is evicted. */
  maxImages: 48,
} as const;

/** Cores used by the filling tasks of a host, by image. */
export type FillingCores = ReadonlyMap<ImageName, number>;

export interface TailReading {
  /** When the reading was taken, on the leader's clock. */
  readonly at: Monotonic;
  /** Mean logarithm of the tail latencies of the image's tasks on one host. */
  readonly tail: number;
  /** Number of tasks that the mean covers. */
  readonly taskCount: number;
  /** Cores used by colocated filling tasks during the half second of the reading. */
  readonly colocatedCores: FillingCores;
}

/** State of a model as persisted for the next leader. */
export interface TailSnapshot {
  /** Filling images in the order of their weights in `mean`. */
  readonly filling: readonly ImageName[];
  /** The base, then the weights. */
  readonly mean: readonly number[];
  /** Lower triangle, row by row. */
  readonly covariance: readonly (readonly number[])[];
}

/** Index of the base in `mean`; the weights follow it. */
const BASE_INDEX = 0;

export class TailModel {
  /** Index of each image's weight in `mean`, least recently seen image first. */
  private readonly indexByImage = new Map<ImageName, number>();
  /** The base, then the weights. */
  private mean: number[] = [TAIL_MODEL.initialBase];
  private covariance: number[][] = [[TAIL_MODEL.baseDeviation ** 2]];
  /** When the last reading was taken; undefined before the first. */
  private lastReadingAt: Monotonic | undefined;

  /** Expected logarithm of the undisturbed tail latency. */
  get base(): number {
    return this.mean[BASE_INDEX] as number;
  }

  /** What one core of the filling image adds to the logarithm; at least 0. */
  weight(image: ImageName): number {
    const index = this.indexByImage.get(image);
    if (index === undefined) return TAIL_MODEL.initialWeight;
    return Math.max(0, this.mean[index] as number);
  }

  /** Upper bound of a weight: the given number of standard deviations above its mean. */
  weightBound(image: ImageName, deviations: number): number {
    const { initialWeight, weightDeviation } = TAIL_MODEL;
    const index = this.indexByImage.get(image);
    if (index === undefined)
      return initialWeight + deviations * weightDeviation;
    const variance = Math.max(0, this.covariance[index]?.[index] ?? 0);
    const bound =
      (this.mean[index] as number) + deviations * Math.sqrt(variance);
    return Math.max(0, bound);
  }

  /** Expected logarithm of the tail latency. */
  predict(colocatedCores: FillingCores): number {
    let tail = this.base;
    for (const [image, cores] of colocatedCores)
      tail += this.weight(image) * cores;
    return tail;
  }

  learn({ at, tail, taskCount, colocatedCores }: TailReading): void {
    const inputs = this.inputsOf(colocatedCores);
    this.driftWeights(inputs);
    this.driftBase(at);
    const covariances = this.mean.map((_, index) =>
      this.covarianceWith(index, inputs),
    );
    let variance = readingVariance(taskCount);
    let expected = 0;
    for (const [index, input] of inputs) {
      variance += input * (covariances[index] as number);
      expected += input * (this.mean[index] as number);
    }
    this.correct(covariances, variance, clampError(tail - expected, variance));
  }

  /** Input vector of the reading, by index in `mean`; the input of the base is 1. */
  private inputsOf(colocatedCores: FillingCores): Map<number, number> {
    const inputs = new Map([[BASE_INDEX, 1]]);
    for (const [image, cores] of colocatedCores) {
      if (cores < TAIL_MODEL.minCores) continue;
      inputs.set(this.indexOf(image), cores);
    }
    return inputs;
  }

  private driftBase(at: Monotonic): void {
    this.increaseBaseVariance(Math.max(0, at - (this.lastReadingAt ?? at)));
    this.lastReadingAt = at;
  }

  /** Increases the variance of the base by its drift, up to the initial variance. */
  private increaseBaseVariance(sinceMs: number): void {
    const { baseDriftVariance, baseDeviation } = TAIL_MODEL;
    const row = this.covariance[BASE_INDEX] as number[];
    const known = row[BASE_INDEX] as number;
    const drifted = known + (sinceMs / MS_PER_SECOND) * baseDriftVariance;
    row[BASE_INDEX] = Math.max(known, Math.min(drifted, baseDeviation ** 2));
  }

  private driftWeights(inputs: ReadonlyMap<number, number>): void {
    for (const index of inputs.keys()) {
      if (index === BASE_INDEX) continue;
      const row = this.covariance[index] as number[];
      row[index] = (row[index] as number) + TAIL_MODEL.driftVariance;
    }
  }

  /** Covariance of one component of `mean` with the expected reading. */
  private covarianceWith(
    index: number,
    inputs: ReadonlyMap<number, number>,
  ): number {
    const row = this.covariance[index] as number[];
    let covariance = 0;
    for (const [other, input] of inputs) {
      covariance += (row[other] as number) * input;
    }
    return covariance;
  }

  private correct(
    covariances: readonly number[],
    variance: number,
    error: number,
  ): void {
    const { minWeight, maxWeight } = TAIL_MODEL;
    covariances.forEach((own, index) => {
      const gain = own / variance;
      const updated = (this.mean[index] as number) + gain * error;
      this.mean[index] =
        index === BASE_INDEX
          ? updated
          : Math.min(maxWeight, Math.max(minWeight, updated));
      const row = this.covariance[index] as number[];
      covariances.forEach((other, column) => {
        row[column] = (row[column] as number) - gain * other;
      });
    });
  }

  /** State of the model with rounded numbers. */
  snapshot(): TailSnapshot {
    const filling = [...this.indexByImage]
      .sort(([, a], [, b]) => a - b)
      .map(([image]) => image);
    return {
      filling,
      mean: this.mean.map(rounded),
      covariance: this.covariance.map((row, index) =>
        row.slice(0, index + 1).map(rounded),
      ),
    };
  }

  /**
   * @param ageMs how long ago the snapshot was taken; the base has drifted since
   * @returns undefined when the sizes of its parts do not match
   */
  static restore(
    { filling, mean, covariance }: TailSnapshot,
    ageMs: number,
  ): TailModel | undefined {
    const size = filling.length + 1;
    const isConsistent =
      size <= TAIL_MODEL.maxImages + 1 &&
      mean.length === size &&
      covariance.length === size &&
      covariance.every((row, index) => row.length === index + 1);
    if (!isConsistent) return undefined;
    const model = new TailModel();
    filling.forEach((image, at) => model.indexByImage.set(image, at + 1));
    model.mean = [...mean];
    model.covariance = covariance.map((row, index) =>
      mean.map((_, column) =>
        column <= index
          ? (row[column] as number)
          : (covariance[column]?.[index] as number),
      ),
    );
    model.increaseBaseVariance(ageMs);
    return model;
  }

  /** Index of the image's weight; a new image gets one, if necessary an evicted image's. */
  private indexOf(image: ImageName): number {
    const known = this.indexByImage.get(image);
    if (known !== undefined) {
      // Moves the image to the end, so that the map starts with the least recently seen.
      this.indexByImage.delete(image);
      this.indexByImage.set(image, known);
      return known;
    }
    if (this.indexByImage.size < TAIL_MODEL.maxImages)
      return this.addImage(image);
    const [[oldest, index] = [image, BASE_INDEX]] = this.indexByImage;
    this.indexByImage.delete(oldest);
    this.indexByImage.set(image, index);
    this.reset(index);
    return index;
  }

  private addImage(image: ImageName): number {
    const index = this.mean.length;
    this.indexByImage.set(image, index);
    this.mean.push(TAIL_MODEL.initialWeight);
    for (const row of this.covariance) row.push(0);
    this.covariance.push(new Array<number>(index + 1).fill(0));
    this.reset(index);
    return index;
  }

  /** Resets the weight at this index to its initial mean and variance. */
  private reset(index: number): void {
    this.mean[index] = TAIL_MODEL.initialWeight;
    this.covariance.forEach((row, other) => {
      row[index] = 0;
      (this.covariance[index] as number[])[other] = 0;
    });
    const row = this.covariance[index] as number[];
    row[index] = TAIL_MODEL.weightDeviation ** 2;
  }
}

/** Variance of a reading that is the mean over the given number of tasks of one host. */
const readingVariance = (taskCount: number): number => {
  const { taskVariance, hostVariance } = TAIL_MODEL;
  return hostVariance + (taskVariance - hostVariance) / taskCount;
};

const clampError = (error: number, variance: number): number => {
  const limit = TAIL_MODEL.maxDeviations * Math.sqrt(variance);
  return Math.max(-limit, Math.min(limit, error));
};

/** Weights and variances are rounded to multiples of 1 / ROUNDING. */
const ROUNDING = 1e6;

const rounded = (value: number): number =>
  Math.round(value * ROUNDING) / ROUNDING;
