/** Baseline: picks the endpoints in turn, from a random start. */

import { pickIndex, type Random } from "@rackspan/common";
import { endpointPickers, type EndpointPicker } from "./EndpointPicker.js";
import type { EndpointView } from "./types.js";

const START_RANGE = 1_000_000;

export class RoundRobinPicker implements EndpointPicker {
  private position: number;

  constructor(random: Random) {
    // Entries that start at the same time must not pick the same endpoints in the same
    // order.
    this.position = pickIndex(random, START_RANGE);
  }

  pick(candidates: readonly EndpointView[]): EndpointView {
    this.position += 1;
    return candidates[this.position % candidates.length] as EndpointView;
  }
}

endpointPickers.register({
  name: "roundRobin",
  create: ({ random }) => new RoundRobinPicker(random),
});
