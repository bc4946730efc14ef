/**
 * Estimates how much filling tasks raise the tail latency of serving tasks, per pair of
 * images. Only few pairs interfere noticeably, and which ones depends on both images
 * (docs/measurements/platform.md, "Interference").
 */

import type { Instant } from "@rackspan/common";
import { BoundedMap, type ImageName, type LearnedTail } from "@rackspan/state";
import { TailModel, type FillingCores, type TailReading } from "./TailModel.js";

/** Model of images without readings; it is never trained. */
const UNTRAINED_MODEL = new TailModel();

/** Limit of serving images with a model; beyond it the model created first is dropped. */
const MAX_MODELS = 256;

export class InterferenceEstimator {
  /** In the order of creation. */
  private readonly models = new BoundedMap<ImageName, TailModel>(MAX_MODELS);
  /** Serving images whose models have changed since they were last taken for the store. */
  private readonly changed = new Set<ImageName>();

  /** @param learns whether readings train the models; if not, all pairs have the initial weight */
  constructor(private readonly learns = true) {}

  learn(serving: ImageName, reading: TailReading): void {
    if (!this.learns) return;
    this.modelOf(serving).learn(reading);
    this.changed.add(serving);
  }

  /** Records of the models that have changed since the last call. */
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
   * Restores the model that a previous leader learned for a serving image.
   * @returns whether it was used; it is ignored if the image already has a model
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

  /** What one core of the filling image adds to the logarithm of the tail latency. */
  weight(serving: ImageName, filling: ImageName): number {
    return (this.models.get(serving) ?? UNTRAINED_MODEL).weight(filling);
  }

  /** Upper bound of the weight: the given number of standard deviations above its mean. */
  weightBound(
    serving: ImageName,
    filling: ImageName,
    deviations: number,
  ): number {
    const model = this.models.get(serving) ?? UNTRAINED_MODEL;
    return model.weightBound(filling, deviations);
  }

  /** Expected logarithm of the tail latency relative to its target. */
  predict(serving: ImageName, colocatedCores: FillingCores): number {
    return (this.models.get(serving) ?? UNTRAINED_MODEL).predict(
      colocatedCores,
    );
  }
}
