/**
 * Forecasts the tail latencies of serving tasks on a host from the learned interference
 * between images.
 */

import type { Clock } from "@rackspan/common";
import type {
  HostState,
  InterferenceEstimator,
  ServingLoadForecaster,
} from "@rackspan/jobs";
import type { ImageName } from "@rackspan/state";
import { READING_MIDDLE_MS } from "./learnInterference.js";
import type { SchedulingPolicy } from "./policy.js";

/**
 * Minimum first pace as a share of full pace. Some progress is needed to observe what
 * the task disturbs.
 */
const MIN_FIRST_SHARE = 0.15;

/** Additions to the logarithm of a tail below this are ignored. */
export const MIN_ADDED_TAIL = 0.02;

/**
 * Time ahead for which the first pace must hold, milliseconds. After two readings the
 * side paces the task by what it observes.
 */
const FIRST_PACE_MS = 1_000;

/**
 * Why the tails of a host do not allow a filling task there, the strongest reason of its
 * serving images:
 * - `tail-limit`: a tail would exceed its limit by the expected weight of the pair;
 * - `tail-load`: a tail exceeds its limit without the task;
 * - `tail-unlearned`: a tail would exceed it only by the uncertainty of the weight.
 */
export type TailRefusal = "tail-limit" | "tail-load" | "tail-unlearned";

export interface TailForecastOptions {
  readonly interference: InterferenceEstimator;
  readonly servingLoads: ServingLoadForecaster;
  readonly clock: Clock;
  readonly policy: SchedulingPolicy;
}

export class TailForecast {
  private readonly interference: InterferenceEstimator;
  private readonly servingLoads: ServingLoadForecaster;
  private readonly clock: Clock;
  /** Natural logarithm of the tail limit as a share of the target. */
  private readonly limit: number;
  /** The same for images whose swing is forecast. */
  private readonly forecastLimit: number;
  private readonly policy: SchedulingPolicy;

  constructor(options: TailForecastOptions) {
    const { interference, servingLoads, clock, policy } = options;
    this.interference = interference;
    this.servingLoads = servingLoads;
    this.clock = clock;
    this.policy = policy;
    this.limit = Math.log(policy.fillingTailLimit);
    this.forecastLimit = Math.log(policy.forecastTailLimit);
  }

  /**
   * Returns by how much the tail of a serving task placed on the host would exceed the
   * limit.
   */
  excessOverLimit(host: HostState, image: ImageName): number {
    const tail = this.interference.predict(image, host.fillingCores);
    return Math.max(0, tail - this.limit);
  }

  /**
   * Returns the largest addition to a tail on the host by a filling task with this many
   * cores.
   *
   * @param runMs expected run time of the filling task, milliseconds
   * @returns undefined if a tail would exceed the limit
   */
  maxAddedTail(
    host: HostState,
    filling: ImageName,
    cores: number,
    runMs: number,
  ): number | undefined {
    let max = 0;
    for (const serving of host.servingImages) {
      const added = this.weightUpperBound(serving, filling) * cores;
      if (added > MIN_ADDED_TAIL) {
        const tail = this.highestTail(host, serving, runMs) + added;
        if (tail > this.limitOf(host, serving)) return undefined;
      }
      max = Math.max(max, added);
    }
    return max;
  }

  /**
   * Returns why `maxAddedTail` refuses the host.
   *
   * @param runMs expected run time of the filling task, milliseconds
   */
  refusalOf(
    host: HostState,
    filling: ImageName,
    cores: number,
    runMs: number,
  ): TailRefusal | undefined {
    let refusal: TailRefusal | undefined;
    for (const serving of host.servingImages) {
      const added = this.weightUpperBound(serving, filling) * cores;
      if (added <= MIN_ADDED_TAIL) continue;
      const headroom =
        this.limitOf(host, serving) - this.highestTail(host, serving, runMs);
      if (headroom >= added) continue;
      const expected = this.interference.weight(serving, filling) * cores;
      if (headroom >= expected) refusal ??= "tail-unlearned";
      else if (headroom > 0) return "tail-limit";
      else refusal = "tail-load";
    }
    return refusal;
  }

  /**
   * Returns by how much the tails on the host together would exceed the limit because
   * of a filling task with this many cores; logarithm.
   *
   * @param runMs expected run time of the filling task, milliseconds
   */
  totalExcess(
    host: HostState,
    filling: ImageName,
    cores: number,
    runMs: number,
  ): number {
    let total = 0;
    for (const serving of host.servingImages) {
      const added = this.weightUpperBound(serving, filling) * cores;
      if (added <= MIN_ADDED_TAIL) continue;
      const tail = this.highestTail(host, serving, runMs) + added;
      const excess = Math.max(0, tail - this.limitOf(host, serving));
      total += Math.min(added, excess);
    }
    return total;
  }

  /**
   * Returns the share of full pace at which a filling task with this many cores may
   * start on the host without a tail exceeding the limit.
   */
  initialPaceShare(host: HostState, filling: ImageName, cores: number): number {
    if (!this.policy.startsSlowly) return 1;
    let share = 1;
    for (const serving of host.servingImages) {
      const added = this.weightUpperBound(serving, filling) * cores;
      if (added <= MIN_ADDED_TAIL) continue;
      const tail = this.highestTail(host, serving, FIRST_PACE_MS);
      const headroom = this.limitOf(host, serving) - tail;
      share = Math.min(share, headroom / added);
    }
    return Math.max(MIN_FIRST_SHARE, share);
  }

  /**
   * Returns an upper bound of the weight. Several tasks of an image often start on one
   * host at the same time. If such an image were assumed harmless until it is seen to
   * disturb, tails would exceed their targets by far before the next poll.
   */
  weightUpperBound(serving: ImageName, filling: ImageName): number {
    const { weightCaution } = this.policy;
    return this.interference.weightBound(serving, filling, weightCaution);
  }

  /** Logarithm of the limit for tails of the image, as a share of the target. */
  limitOf(host: HostState, serving: ImageName): number {
    const isForecast =
      host.readings.tails.has(serving) &&
      this.servingLoads.isConfident(serving);
    return isForecast ? this.forecastLimit : this.limit;
  }

  /**
   * Returns the logarithm of the highest tail within this time from now, by the swing of
   * the image's load where its forecast is confident.
   */
  private highestTail(
    host: HostState,
    serving: ImageName,
    aheadMs: number,
  ): number {
    const tail = this.tailWithoutSwing(host, serving);
    // Without a reading the tail is predicted without the swing.
    if (!host.readings.tails.has(serving)) return tail;
    return tail + this.highestSwing(serving, aheadMs);
  }

  /**
   * Returns the highest swing of the image's tails within this time from now; 0 without
   * a confident forecast.
   */
  highestSwing(serving: ImageName, aheadMs: number): number {
    const now = this.clock.monotonic();
    return this.servingLoads.highestSwing(serving, now, now + aheadMs);
  }

  /** Returns the logarithm of the tail at full pace without the image's swing. */
  tailWithoutSwing(host: HostState, serving: ImageName): number {
    const tail = this.tailAtFullPace(host, serving);
    if (!host.readings.tails.has(serving)) return tail;
    const readAt = host.reportReceivedAt - READING_MIDDLE_MS;
    return tail - this.servingLoads.swingAt(serving, readAt);
  }

  /**
   * Returns the logarithm of the tail when all tasks placed on the host run at full
   * pace: the last reading, plus the addition of tasks that used less than their demand
   * at that time.
   */
  private tailAtFullPace(host: HostState, serving: ImageName): number {
    const { tails, usedCores } = host.readings;
    const reading = tails.get(serving);
    if (reading === undefined) {
      return this.interference.predict(serving, host.fillingCores);
    }
    let tail = reading;
    for (const [image, demand] of host.fillingCores) {
      const unused = Math.max(0, demand - (usedCores.get(image) ?? 0));
      tail += this.weightUpperBound(serving, image) * unused;
    }
    return tail;
  }
}
