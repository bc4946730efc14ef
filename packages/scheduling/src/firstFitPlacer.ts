/** Baseline: prefers the first host, by name, with enough free resources. */

import type { HostView, Placer } from "@rackspan/jobs";
import type { Unit } from "@rackspan/state";
import { hostsWithCapacity, placers } from "./placers.js";

export class FirstFitPlacer implements Placer {
  rank(unit: Unit, hosts: readonly HostView[]): readonly HostView[] {
    return [...hostsWithCapacity(unit, hosts)].sort((a, b) =>
      a.host < b.host ? -1 : 1,
    );
  }
}

placers.register({ name: "firstFit", create: () => new FirstFitPlacer() });
