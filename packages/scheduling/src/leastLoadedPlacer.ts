/** Baseline: prefers the emptiest host. */

import type { HostView, Placer } from "@rackspan/jobs";
import type { Unit } from "@rackspan/state";
import {
  freeShare,
  hostsWithCapacity,
  placers,
  sortByScore,
} from "./placers.js";

export class LeastLoadedPlacer implements Placer {
  rank(unit: Unit, hosts: readonly HostView[]): readonly HostView[] {
    return sortByScore(
      hostsWithCapacity(unit, hosts),
      (host) => -freeShare(host),
    );
  }
}

placers.register({
  name: "leastLoaded",
  create: () => new LeastLoadedPlacer(),
});
