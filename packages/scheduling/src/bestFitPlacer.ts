/** Baseline: the fullest host that still has room. */

import type { HostView, Placer } from "@rackspan/jobs";
import type { Unit } from "@rackspan/state";
import { freeShare, hostsWithRoom, placers, sortByScore } from "./placers.js";

export class BestFitPlacer implements Placer {
  rank(unit: Unit, hosts: readonly HostView[]): readonly HostView[] {
    return sortByScore(hostsWithRoom(unit, hosts), freeShare);
  }
}

placers.register({ name: "bestFit", create: () => new BestFitPlacer() });
