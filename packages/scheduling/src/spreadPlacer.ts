/**
 * Spreads replicas of one declaration: prefers another zone, then another rack, then
 * another host, and among equal hosts the emptiest. Jobs have no replicas and are
 * placed by free resources alone.
 */

import type { HostView, Placer } from "@rackspan/jobs";
import { replicaGroupOf, type Unit } from "@rackspan/state";
import {
  freeShare,
  hostsWithCapacity,
  placers,
  sortByScore,
} from "./placers.js";

const ZONE_WEIGHT = 1;
const RACK_WEIGHT = 10;
const HOST_WEIGHT = 100;

class ReplicaCounts {
  readonly byHost = new Map<string, number>();
  readonly byRack = new Map<string, number>();
  readonly byZone = new Map<string, number>();

  constructor(family: string, hosts: readonly HostView[]) {
    for (const { host, rack, availabilityZone, tasks, placing } of hosts) {
      const running = tasks.filter(
        ({ unit, state }) => state !== "ended" && unit.startsWith(family),
      ).length;
      const pending = placing.filter((unit) => unit.startsWith(family)).length;
      const count = running + pending;
      if (count === 0) continue;
      add(this.byHost, host, count);
      add(this.byRack, rack, count);
      add(this.byZone, availabilityZone, count);
    }
  }

  crowding({ host, rack, availabilityZone }: HostView): number {
    return (
      HOST_WEIGHT * (this.byHost.get(host) ?? 0) +
      RACK_WEIGHT * (this.byRack.get(rack) ?? 0) +
      ZONE_WEIGHT * (this.byZone.get(availabilityZone) ?? 0)
    );
  }
}

const add = (counts: Map<string, number>, key: string, by: number): void => {
  counts.set(key, (counts.get(key) ?? 0) + by);
};

export class SpreadPlacer implements Placer {
  rank(unit: Unit, hosts: readonly HostView[]): readonly HostView[] {
    const fitting = hostsWithCapacity(unit, hosts);
    if (unit.spec.kind === "job") {
      return sortByScore(fitting, (host) => -freeShare(host));
    }
    const counts = new ReplicaCounts(replicaGroupOf(unit), hosts);
    return sortByScore(
      fitting,
      (host) => counts.crowding(host) - freeShare(host),
    );
  }
}

placers.register({ name: "spread", create: () => new SpreadPlacer() });
