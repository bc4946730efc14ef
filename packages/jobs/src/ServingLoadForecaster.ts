/**
 * Forecasts how the undisturbed tail latencies of serving images move with their load,
 * with one SwingModel for each image. Soft state: the next leader restores the waves.
 */

import type { Monotonic } from "@rackspan/common";
import { BoundedMap, type ImageName } from "@rackspan/state";
import {
  shiftWave,
  SwingModel,
  type SwingErrors,
  type Wave,
} from "./SwingModel.js";

/** Limit of serving images with a model; beyond it the model created first is dropped. */
const MAX_MODELS = 256;

export interface ServingLoadStatus {
  readonly serving: ImageName;
  readonly errors: SwingErrors;
  /** Undefined while forecasts are not confident. */
  readonly wave: Wave | undefined;
}

export class ServingLoadForecaster {
  private readonly models = new BoundedMap<ImageName, SwingModel>(MAX_MODELS);

  /** @param isEnabled whether anything is learned; if not, nothing is forecast */
  constructor(private readonly isEnabled: boolean) {}

  /** @param tail logarithm of a tail without the additions of filling tasks */
  learn(serving: ImageName, at: Monotonic, tail: number): void {
    if (!this.isEnabled) return;
    this.modelOf(serving).learn(at, tail);
  }

  /** See SwingModel; 0 without confidence. */
  swingAt(serving: ImageName, at: Monotonic): number {
    return this.models.get(serving)?.swingAt(at) ?? 0;
  }

  /** See SwingModel; 0 without confidence. */
  highestSwing(serving: ImageName, from: Monotonic, until: Monotonic): number {
    return this.models.get(serving)?.highestSwing(from, until) ?? 0;
  }

  isConfident(serving: ImageName): boolean {
    return this.models.get(serving)?.confidentWave !== undefined;
  }

  /** Errors of the tested forecasts, for operators. */
  status(): ServingLoadStatus[] {
    return [...this.models].flatMap(([serving, model]) => {
      const { errors, confidentWave: wave } = model;
      return errors ? [{ serving, errors, wave }] : [];
    });
  }

  /** The confident wave of an image on a clock whose zero is now, for the next leader. */
  snapshot(serving: ImageName, now: Monotonic): Wave | undefined {
    const wave = this.models.get(serving)?.confidentWave;
    return wave && shiftWave(wave, -now);
  }

  /** @param ageMs how long ago the snapshot was taken */
  restore(
    serving: ImageName,
    wave: Wave,
    { now, ageMs }: { readonly now: Monotonic; readonly ageMs: number },
  ): void {
    if (!this.isEnabled || this.models.get(serving)) return;
    this.modelOf(serving).restore(shiftWave(wave, now - ageMs));
  }

  private modelOf(serving: ImageName): SwingModel {
    const known = this.models.get(serving);
    if (known) return known;
    const model = new SwingModel();
    this.models.set(serving, model);
    return model;
  }
}
