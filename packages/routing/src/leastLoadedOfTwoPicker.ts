/** Baseline: picks the less loaded of two random endpoints. */

import { pickIndex, type Random } from "@rackspan/common";
import { endpointPickers, type EndpointPicker } from "./EndpointPicker.js";
import type { EndpointView } from "./types.js";

/** The side's count of busy slots may be outdated; this entry's own count is not. */
const loadOf = ({ inFlight, busySlots, slots }: EndpointView): number =>
  Math.max(inFlight, busySlots) / slots;

export class LeastLoadedOfTwoPicker implements EndpointPicker {
  constructor(private readonly random: Random) {}

  pick(candidates: readonly EndpointView[]): EndpointView {
    const first = this.draw(candidates);
    const second = this.draw(candidates);
    return loadOf(second) < loadOf(first) ? second : first;
  }

  private draw(candidates: readonly EndpointView[]): EndpointView {
    return candidates[
      pickIndex(this.random, candidates.length)
    ] as EndpointView;
  }
}

endpointPickers.register({
  name: "leastLoadedOfTwo",
  create: ({ random }) => new LeastLoadedOfTwoPicker(random),
});
