/**
 * What is known of how filling tasks disturb serving tasks, by their images. Few
 * pairs matter, and they differ by image on both sides
 * (docs/measurements/platform.md, "Interference").
 */

import type { Instant } from "@rackspan/common";
import { BoundedMap, type ImageName, type LearnedTail } from "@rackspan/state";
import { TailModel, type FillingCores, type TailReading } from "./TailModel.js";

/** Stands for images of which nothing is known; never taught. */
const UNTRAINED_MODEL = new TailModel();

/** Serving images followed at once; the one first learnt is forgotten. */
const MAX_MODELS = 256;

export class InterferenceEstimator {
  /** In the order in which they were first learnt. */
  private readonly models = new BoundedMap<ImageName, TailModel>(MAX_MODELS);
  /** Serving images of which more was learnt since they were last kept. */
  private readonly changed = new Set<ImageName>();

  /** @param learns whether readings change anything; else all pairs are alike */
  constructor(private readonly learns = true) {}

  learn(serving: ImageName, reading: TailReading): void {
    if (!this.learns) return;
    this.modelOf(serving).learn(reading);
    this.changed.add(serving);
  }

  /** Models that have changed since they were last taken here. */
  takeChanged(now: Instant): LearnedTail[] {
    const records: LearnedTail[] = [];
    for (const serving of this.changed) {
      const snapshot = this.models.get(serving)?.snapshot();
      if (!snapshot) continue;
      const { filling, mean, covariance } = snapshot;
      records.push({
        kind: "tail",
        writtenAt: now,
        serving,
        filling: [...filling],
        mean: [...mean],
        covariance: covariance.map((row) => [...row]),
      });
    }
    this.changed.clear();
    return records;
  }

  /**
   * Takes what a former leader learnt of an image.
   * @returns whether it was of use: nothing is known of the image yet
   */
  restore(record: LearnedTail, ageMs: number): boolean {
    if (!this.learns || this.models.get(record.serving)) return false;
    const model = TailModel.restore(record, ageMs);
    if (model) this.models.set(record.serving, model);
    return model !== undefined;
  }

  private modelOf(serving: ImageName): TailModel {
    const known = this.models.get(serving);
    if (known) return known;
    const model = new TailModel();
    this.models.set(serving, model);
    return model;
  }

  /** What one core of the filling image adds to the logarithm of the tail. */
  weight(serving: ImageName, filling: ImageName): number {
    return (this.models.get(serving) ?? UNTRAINED_MODEL).weight(filling);
  }

  /** The same, so many standard deviations above what is expected. */
  weightBound(
    serving: ImageName,
    filling: ImageName,
    deviations: number,
  ): number {
    const model = this.models.get(serving) ?? UNTRAINED_MODEL;
    return model.weightBound(filling, deviations);
  }

  /** Expected logarithm of the tail, as a share of its target. */
  predict(serving: ImageName, colocatedCores: FillingCores): number {
    return (this.models.get(serving) ?? UNTRAINED_MODEL).predict(
      colocatedCores,
    );
  }
}
