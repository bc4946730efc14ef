/** Baseline: picks every endpoint with equal probability. */

import { pickIndex, type Random } from "@rackspan/common";
import { endpointPickers, type EndpointPicker } from "./EndpointPicker.js";
import type { EndpointView } from "./types.js";

export class RandomPicker implements EndpointPicker {
  constructor(private readonly random: Random) {}

  pick(candidates: readonly EndpointView[]): EndpointView {
    return candidates[
      pickIndex(this.random, candidates.length)
    ] as EndpointView;
  }
}

endpointPickers.register({
  name: "random",
  create: ({ random }) => new RandomPicker(random),
});
