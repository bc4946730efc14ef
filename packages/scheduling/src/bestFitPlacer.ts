/** Baseline: prefers the fullest host that still has enough free resources. */

import type { HostView, Placer } from "@rackspan/jobs";
import type { Unit } from "@rackspan/state";
import {
  freeShare,
  hostsWithCapacity,
  placers,
  sortByScore,
} from "./placers.js";

export class BestFitPlacer implements Placer {
  rank(unit: Unit, hosts: readonly HostView[]): readonly HostView[] {
    return sortByScore(hostsWithCapacity(unit, hosts), freeShare);
  }
}

placers.register({ name: "bestFit", create: () => new BestFitPlacer() });
