/** Forecasts the tails of serving tasks on a host by what was learnt of the images. */

import type { HostState, InterferenceEstimator } from "@rackspan/jobs";
import type { ImageName } from "@rackspan/state";
import type { SchedulingPolicy } from "./policy.js";

/** Some progress shows what the task disturbs; share of full pace. */
const LEAST_FIRST_SHARE = 0.15;

/** What adds less than this to the logarithm of a tail disturbs nobody. */
const NEGLIGIBLE = 0.02;

export interface TailForecastOptions {
  readonly interference: InterferenceEstimator;
  readonly policy: SchedulingPolicy;
}

export class TailForecast {
  private readonly interference: InterferenceEstimator;
  /** Logarithm of the share of its target. */
  private readonly limit: number;
  private readonly policy: SchedulingPolicy;

  constructor({ interference, policy }: TailForecastOptions) {
    this.interference = interference;
    this.policy = policy;
    this.limit = Math.log(policy.fillingTailLimit);
  }

  /** By how much the tail of a serving task placed there would pass the limit. */
  excessOverLimit(host: HostState, image: ImageName): number {
    const tail = this.interference.predict(image, host.fillingCores);
    return Math.max(0, tail - this.limit);
  }

  /**
   * The most that a filling task of so many cores adds to a tail there.
   *
   * @returns undefined when a tail would pass the limit
   */
  maxAddedTail(
    host: HostState,
    filling: ImageName,
    cores: number,
  ): number | undefined {
    let most = 0;
    for (const serving of host.servingImages) {
      const added = this.cautiousWeight(serving, filling) * cores;
      if (added > NEGLIGIBLE) {
        const tail = this.atFullPace(host, serving) + added;
        if (tail > this.limit) return undefined;
      }
      most = Math.max(most, added);
    }
    return most;
  }

  /**
   * The share of full pace at which a filling task of so many cores may begin
   * there without taking a tail past the limit.
   */
  initialPaceShare(host: HostState, filling: ImageName, cores: number): number {
    if (!this.policy.startsSlowly) return 1;
    let share = 1;
    for (const serving of host.servingImages) {
      const added = this.cautiousWeight(serving, filling) * cores;
      if (added <= NEGLIGIBLE) continue;
      const headroom = this.limit - this.atFullPace(host, serving);
      share = Math.min(share, headroom / added);
    }
    return Math.max(LEAST_FIRST_SHARE, share);
  }

  /**
   * Several tasks of an image often start on one host at once. Taken as harmless
   * until it was seen to disturb, such an image would take tails far past
   * their target within a look.
   */
  private cautiousWeight(serving: ImageName, filling: ImageName): number {
    const { weightCaution } = this.policy;
    return this.interference.weightBound(serving, filling, weightCaution);
  }

  /**
   * Logarithm of the tail once all that was placed there runs at full pace: what
   * was read last, and what tasks add that got less than they ask for by then.
   */
  private atFullPace(host: HostState, serving: ImageName): number {
    const { tails, usedCores } = host.readings;
    const read = tails.get(serving);
    if (read === undefined) {
      return this.interference.predict(serving, host.fillingCores);
    }
    let tail = read;
    for (const [image, asked] of host.fillingCores) {
      const unused = Math.max(0, asked - (usedCores.get(image) ?? 0));
      tail += this.cautiousWeight(serving, image) * unused;
    }
    return tail;
  }
}
