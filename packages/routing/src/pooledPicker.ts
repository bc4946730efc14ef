/**
 * Rackspan's own picker, as opposed to the baselines: draws a few random endpoints and
 * picks the one with the lowest expected wait. An endpoint that is not hot is always
 * preferred to a hot one, and hot ones are compared by load, since a measured latency
 * says little about an endpoint whose slots are all in use. Source:
 * docs/design/routing.md, with the measurements behind each part.
 */

import {
  pickIndex,
  type AvailabilityZone,
  type Random,
} from "@rackspan/common";
import { endpointPickers, type EndpointPicker } from "./EndpointPicker.js";
import type { EndpointView } from "./types.js";

export interface PooledPickerOptions {
  readonly random: Random;
  /**
   * The availability zone of the entry that picks; endpoints in other zones get a
   * penalty.
   */
  readonly availabilityZone: AvailabilityZone;
  /** Endpoints drawn per request. */
  readonly draws: number;
  /** Latency that an endpoint in another zone must save to be preferred, milliseconds. */
  readonly crossZonePenaltyMs: number;
  /** Share of slots in use from which an endpoint counts as hot, in [0, 1]. */
  readonly hotShare: number;
}

export const POOLED_PICKER_DEFAULTS = {
  draws: 3,
  crossZonePenaltyMs: 0.5,
  hotShare: 0.9,
} as const;

/**
 * Latency assumed for an endpoint that has not answered yet; the lowest, so that it is
 * tried.
 */
const UNKNOWN_LATENCY_MS = 0;

export class PooledPicker implements EndpointPicker {
  constructor(private readonly options: PooledPickerOptions) {}

  pick(candidates: readonly EndpointView[]): EndpointView {
    let best = this.draw(candidates);
    for (let drawn = 1; drawn < this.options.draws; drawn += 1) {
      const next = this.draw(candidates);
      if (next !== best && this.isBetter(next, best)) best = next;
    }
    return best;
  }

  private draw(candidates: readonly EndpointView[]): EndpointView {
    return candidates[
      pickIndex(this.options.random, candidates.length)
    ] as EndpointView;
  }

  private isBetter(a: EndpointView, b: EndpointView): boolean {
    const isHotA = this.isHot(a);
    if (isHotA !== this.isHot(b)) return !isHotA;
    return isHotA ? loadShare(a) < loadShare(b) : this.cost(a) < this.cost(b);
  }

  private isHot(endpoint: EndpointView): boolean {
    return loadShare(endpoint) >= this.options.hotShare;
  }

  /** Latency weighted by the load, plus the penalty for another zone. */
  private cost(endpoint: EndpointView): number {
    const { availabilityZone, latencyMs } = endpoint;
    const isOtherZone = availabilityZone !== this.options.availabilityZone;
    const knownLatencyMs = latencyMs > 0 ? latencyMs : UNKNOWN_LATENCY_MS;
    const expectedMs = knownLatencyMs * (1 + loadShare(endpoint));
    return expectedMs + (isOtherZone ? this.options.crossZonePenaltyMs : 0);
  }
}

/**
 * The side's count may be outdated, and this entry's own count excludes requests of
 * other entries.
 */
const loadShare = ({ inFlight, busySlots, slots }: EndpointView): number =>
  Math.max(inFlight, busySlots) / slots;

endpointPickers.register({
  name: "pooled",
  create: ({ random, availabilityZone }) =>
    new PooledPicker({ random, availabilityZone, ...POOLED_PICKER_DEFAULTS }),
});
