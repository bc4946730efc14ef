/** Whether a rolling change may take one more replica out of service. */

import type { UnitId } from "@rackspan/common";
import type { Fold } from "./Fold.js";
import { replicaUnitId, type Unit } from "./units.js";

const REPLICA_UNIT = /^(service|worker)\/(.+)\/(\d+)$/;

/** True when every replica of the unit's declaration holds a claim. */
export const allReplicasClaimed = (fold: Fold, unit: Unit): boolean => {
  const [, kind, name] = REPLICA_UNIT.exec(unit.id) ?? [];
  if ((kind !== "service" && kind !== "worker") || !name) return false;
  const declaration = fold.config.get(kind, name);
  if (!declaration || !("replicas" in declaration)) return false;
  for (let replica = 0; replica < declaration.replicas; replica += 1) {
    const id: UnitId = replicaUnitId(kind, name, replica);
    if (fold.units.get(id)?.phase !== "claimed") return false;
  }
  return true;
};
