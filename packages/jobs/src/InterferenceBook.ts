/**
 * Learns which images of filling tasks disturb which images of serving tasks.
 *
 * The logarithm of a serving task's tail, as a share of its target, is modelled
 * as a base plus a weight for each core that each filling image uses beside it.
 * Weights are moved after every reading in proportion to the error (normalised
 * least mean squares) and never fall below zero. Pairs differ much: most do not
 * disturb at all, some double a tail with four cores
 * (docs/measurements/platform.md, "Interference").
 *
 * Soft state: a new leader learns anew within some seconds.
 */

import type { ImageName } from "@rackspan/state";

export const INTERFERENCE = {
  /** Logarithm of a tail's share of its target when nothing disturbs (0.42). */
  initialBase: -0.87,
  baseRate: 0.03,
  /** Weight of a pair that was never seen together, logarithm a core. */
  initialWeight: 0.03,
  /** Share of each error that is corrected at once, with many cores beside. */
  rate: 0.2,
  /**
   * Square of the cores at which half of that is corrected. Few cores teach
   * little: what they seem to do is mostly the tail's own noise.
   */
  halfRateCores: 6,
  /** Errors count as at most this: readings jump far beyond what a model can tell. */
  maxError: 1.5,
  maxWeight: 0.6,
  /** Fewer cores than this beside a serving task teach nothing, in all. */
  leastCores: 0.1,
  /** The least share that a reading is taken as; below it differences mean nothing. */
  leastTail: 0.05,
} as const;

/** Cores in use by the filling tasks of a host, by image. */
export type FillingCores = ReadonlyMap<ImageName, number>;

export class InterferenceBook {
  private readonly bases = new Map<ImageName, number>();
  private readonly weights = new Map<ImageName, Map<ImageName, number>>();

  /** @param tail share of the target, over the half second in which `beside` ran */
  learn(serving: ImageName, tail: number, beside: FillingCores): void {
    const reading = Math.log(Math.max(INTERFERENCE.leastTail, tail));
    let norm = 0;
    for (const cores of beside.values()) norm += cores * cores;
    if (norm < INTERFERENCE.leastCores ** 2) {
      this.learnBase(serving, reading);
      return;
    }
    const { maxError, maxWeight, rate, halfRateCores } = INTERFERENCE;
    const missed = reading - this.predict(serving, beside);
    const error = Math.max(-maxError, Math.min(maxError, missed));
    const row = this.row(serving);
    for (const [image, cores] of beside) {
      const moved =
        this.weight(serving, image) +
        (rate * error * cores) / (norm + halfRateCores);
      row.set(image, Math.min(maxWeight, Math.max(0, moved)));
    }
  }

  /** What one core of the filling image adds to the logarithm of the tail. */
  weight(serving: ImageName, filling: ImageName): number {
    return (
      this.weights.get(serving)?.get(filling) ?? INTERFERENCE.initialWeight
    );
  }

  base(serving: ImageName): number {
    return this.bases.get(serving) ?? INTERFERENCE.initialBase;
  }

  /** Expected logarithm of the tail, as a share of the target. */
  predict(serving: ImageName, beside: FillingCores): number {
    let tail = this.base(serving);
    for (const [image, cores] of beside) {
      tail += this.weight(serving, image) * cores;
    }
    return tail;
  }

  private learnBase(serving: ImageName, tail: number): void {
    const before = this.base(serving);
    const moved = before + INTERFERENCE.baseRate * (tail - before);
    this.bases.set(serving, moved);
  }

  private row(serving: ImageName): Map<ImageName, number> {
    let row = this.weights.get(serving);
    if (!row) {
      row = new Map();
      this.weights.set(serving, row);
    }
    return row;
  }
}
