/** Updates the units of a declaration that has changed. */

import { assertNever, type Sequence } from "@rackspan/common";
import type { Declaration } from "./declarations.js";
import type { Change } from "./records.js";
import type { UnitFold } from "./UnitFold.js";
import {
  jobSpec,
  jobUnitId,
  replicaUnitId,
  serviceSpec,
  standingWorkerSpec,
} from "./units.js";

type Replicated = Extract<Declaration, { kind: "service" | "worker" }>;

const replicasOf = (declaration: Declaration | undefined): number =>
  declaration && "replicas" in declaration ? declaration.replicas : 0;

const isSpecUnchanged = (a: Declaration | undefined, b: Replicated): boolean =>
  a !== undefined &&
  a.kind === b.kind &&
  JSON.stringify([a.resources, a.program, a.team]) ===
    JSON.stringify([b.resources, b.program, b.team]);

const updateReplicas = (
  units: UnitFold,
  declaration: Replicated,
  before: Declaration | undefined,
  at: Sequence,
): void => {
  const { kind, name, replicas } = declaration;
  const spec =
    kind === "service"
      ? serviceSpec(declaration)
      : standingWorkerSpec(declaration);
  const keep = isSpecUnchanged(before, declaration);
  for (let replica = 0; replica < replicas; replica += 1) {
    const id = replicaUnitId(kind, name, replica);
    if (keep && units.get(id)?.wanted) continue;
    units.upsert(id, spec, at);
  }
  removeReplicas(units, declaration, replicas, replicasOf(before));
};

const removeReplicas = (
  units: UnitFold,
  { kind, name }: Pick<Replicated, "kind" | "name">,
  from: number,
  to: number,
): void => {
  for (let replica = from; replica < to; replica += 1) {
    units.retire(replicaUnitId(kind, name, replica));
  }
};

/** @param before the declaration before the change */
export const updateUnits = (
  units: UnitFold,
  change: Change,
  before: Declaration | undefined,
  at: Sequence,
): void => {
  if (change.action === "remove") {
    if (before?.kind === "job") units.retire(jobUnitId(before.name));
    if (before?.kind === "service" || before?.kind === "worker") {
      removeReplicas(units, before, 0, before.replicas);
    }
    return;
  }
  const { declaration } = change;
  switch (declaration.kind) {
    case "service":
    case "worker":
      updateReplicas(units, declaration, before, at);
      return;
    case "job":
      // Applying the file of a job again does not run the job again.
      if (!units.get(jobUnitId(declaration.name))) {
        units.upsert(jobUnitId(declaration.name), jobSpec(declaration), at);
      }
      return;
    case "policy":
    case "quota":
      return;
    default:
      assertNever(declaration);
  }
};
