/**
 * Learns what each image of filling tasks adds to the tails of one image of
 * serving tasks. The logarithm of a tail, as a share of its target, is modelled
 * as a base plus a weight for each core that each filling image uses beside it,
 * and followed by a Kalman filter: what stands beside the tail at one time is
 * told apart by what stood beside it, or did not, at others.
 *
 * Soft state: a new leader takes over what the last one kept, where there is any,
 * and learns the rest anew within some seconds.
 */

import { MS_PER_SECOND, type Monotonic } from "@rackspan/common";
import type { ImageName } from "@rackspan/state";

/** Where these come from: docs/CAPACITY.md, "How values were found". */
export const TAIL_MODEL = {
  /** Logarithm of a tail's share of its target when nothing disturbs (0.42). */
  initialBase: -0.87,
  /** How far off the first base may be, standard deviation: the load's swing and more. */
  baseDeviation: 0.4,
  /** Weight of a pair that was never seen together, logarithm a core. */
  initialWeight: 0.03,
  /** How far off that may be, standard deviation; pairs of 0.2 are common. */
  weightDeviation: 0.1,
  /** Variance of one task's reading once the load of its image is known. */
  taskVariance: 0.06,
  /** Part of it that the tasks of one host share. */
  hostVariance: 0.03,
  /** Variance by which weights drift from one reading to the next. */
  driftVariance: 3e-5,
  /**
   * Variance a second by which the base moves. The users of an image come and go
   * on all hosts together, so its tails rise and fall together. A base that stands
   * still takes this for disturbance.
   */
  baseDriftVariance: 0.02,
  /** Errors count as at most this many standard deviations: readings jump. */
  maxDeviations: 2,
  /** Weights are kept within these two bounds; logarithm a core. */
  minWeight: -0.02,
  maxWeight: 0.8,
  /** Fewer cores than this of an image teach nothing of it. */
  minCores: 0.05,
  /** Images followed at once; the one not seen for longest is forgotten. */
  maxImages: 48,
} as const;

/** Cores in use by the filling tasks of a host, by image. */
export type FillingCores = ReadonlyMap<ImageName, number>;

export interface TailReading {
  /** When it was taken, on the leader's clock. */
  readonly at: Monotonic;
  /** Mean logarithm of the tails of the image's tasks on one host. */
  readonly tail: number;
  /** How many tasks that is the mean of. */
  readonly taskCount: number;
  /** What ran beside them in the half second of the reading. */
  readonly colocatedCores: FillingCores;
}

/** What a model knows, as it is kept for the next leader. */
export interface TailSnapshot {
  /** In the order of their weights in `mean`. */
  readonly filling: readonly ImageName[];
  /** The base, then the weights. */
  readonly mean: readonly number[];
  /** Lower triangle, row by row. */
  readonly covariance: readonly (readonly number[])[];
}

/** Place of the base in `mean`; weights stand behind it. */
const BASE_INDEX = 0;

export class TailModel {
  /** Place of each image's weight in `mean`; in the order last seen. */
  private readonly indexByImage = new Map<ImageName, number>();
  /** The base, then the weights. */
  private mean: number[] = [TAIL_MODEL.initialBase];
  private covariance: number[][] = [[TAIL_MODEL.baseDeviation ** 2]];
  /** When the last reading was taken; undefined before the first. */
  private lastReadingAt: Monotonic | undefined;

  /** Expected logarithm of the tail when nothing disturbs it. */
  get base(): number {
    return this.mean[BASE_INDEX] as number;
  }

  /** What one core of the filling image adds to the logarithm; never below 0. */
  weight(image: ImageName): number {
    const index = this.indexByImage.get(image);
    if (index === undefined) return TAIL_MODEL.initialWeight;
    return Math.max(0, this.mean[index] as number);
  }

  /** What one core of the image may add, so many standard deviations above what is expected. */
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

  /** Expected logarithm of the tail. */
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

  /** What the reading's parts are multiplied with, by place; the base counts once. */
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

  /** The base may have moved since it was last read, but not past all bounds. */
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

  /** Covariance of one part with the expected reading. */
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

  /** What is known, with numbers rounded to what matters. */
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
   * @param ageMs how long ago the snapshot was taken; the base has moved since
   * @returns undefined when its parts do not belong together
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

  /** The place of the image's weight; an image that is not known gets one. */
  private indexOf(image: ImageName): number {
    const known = this.indexByImage.get(image);
    if (known !== undefined) {
      // Seen last: the first of the map is the one not seen for longest.
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

  /** Knows nothing of the weight at this place any more. */
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

/** Variance of a reading that is the mean of so many tasks of one host. */
const readingVariance = (taskCount: number): number => {
  const { taskVariance, hostVariance } = TAIL_MODEL;
  return hostVariance + (taskVariance - hostVariance) / taskCount;
};

const clampError = (error: number, variance: number): number => {
  const limit = TAIL_MODEL.maxDeviations * Math.sqrt(variance);
  return Math.max(-limit, Math.min(limit, error));
};

/** Weights and variances below this tell nothing. */
const ROUNDING = 1e6;

const rounded = (value: number): number =>
  Math.round(value * ROUNDING) / ROUNDING;
