/**
 * What is known of how filling tasks disturb serving tasks, by their images. Few
 * pairs matter, and they differ by image on both sides
 * (docs/measurements/platform.md, "Interference").
 */

import type { ImageName } from "@rackspan/state";
import {
  TAIL_MODEL,
  TailModel,
  type FillingCores,
  type TailReading,
} from "./TailModel.js";

export class InterferenceBook {
  private readonly models = new Map<ImageName, TailModel>();

  /** @param learns whether readings change anything; else all pairs are alike */
  constructor(private readonly learns = true) {}

  learn(serving: ImageName, reading: TailReading): void {
    if (!this.learns) return;
    const model = this.models.get(serving) ?? new TailModel();
    this.models.set(serving, model);
    model.learn(reading);
  }

  /** What one core of the filling image adds to the logarithm of the tail. */
  weight(serving: ImageName, filling: ImageName): number {
    return (
      this.models.get(serving)?.weight(filling) ?? TAIL_MODEL.initialWeight
    );
  }

  /** Expected logarithm of the tail, as a share of its target. */
  predict(serving: ImageName, beside: FillingCores): number {
    return (this.models.get(serving) ?? new TailModel()).predict(beside);
  }
}
