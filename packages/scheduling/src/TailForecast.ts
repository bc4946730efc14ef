/**
 * Forecasts the tail latencies of serving tasks on a host from the learned interference
 * between images.
 */

import type { HostState, InterferenceEstimator } from "@rackspan/jobs";
import type { ImageName } from "@rackspan/state";
import type { SchedulingPolicy } from "./policy.js";

/**
 * Minimum first pace as a share of full pace. Some progress is needed to observe what
 * the task disturbs.
 */
const LEAST_FIRST_SHARE = 0.15;

/** Additions to the logarithm of a tail below this are ignored. */
const NEGLIGIBLE = 0.02;

export interface TailForecastOptions {
  readonly interference: InterferenceEstimator;
  readonly policy: SchedulingPolicy;
}

export class TailForecast {
  private readonly interference: InterferenceEstimator;
  /** Natural logarithm of the tail limit as a share of the target. */
  private readonly limit: number;
  private readonly policy: SchedulingPolicy;

  constructor({ interference, policy }: TailForecastOptions) {
    this.interference = interference;
    this.policy = policy;
    this.limit = Math.log(policy.fillingTailLimit);
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
   * @returns undefined if a tail would exceed the limit
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
   * Returns the share of full pace at which a filling task with this many cores may
   * start on the host without a tail exceeding the limit.
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
   * Returns an upper bound of the weight. Several tasks of an image often start on one
   * host at the same time. If such an image were assumed harmless until it is seen to
   * disturb, tails would exceed their targets by far before the next poll.
   */
  private cautiousWeight(serving: ImageName, filling: ImageName): number {
    const { weightCaution } = this.policy;
    return this.interference.weightBound(serving, filling, weightCaution);
  }

  /**
   * Returns the logarithm of the tail when all tasks placed on the host run at full
   * pace: the last reading, plus the addition of tasks that used less than their demand
   * at that time.
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
