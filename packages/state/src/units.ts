/** Units: what is placed as a whole, and how far each has come. */

import type {
  HostGeneration,
  HostId,
  ReservationId,
  Resources,
  Sequence,
  ServiceName,
  TeamName,
  UnitId,
} from "@rackspan/common";
import { unitId } from "@rackspan/common";
import type { EndKind, Program, TaskKind } from "@rackspan/protocol";
import type {
  JobDeclaration,
  Priority,
  ServiceDeclaration,
  StandingWorkerDeclaration,
} from "./declarations.js";

/** What a unit asks for. */
export interface UnitSpec {
  readonly kind: TaskKind;
  readonly team: TeamName;
  readonly priority: Priority;
  readonly resources: Resources;
  readonly program: Program;
  readonly service?: ServiceName | undefined;
  /** Jobs only. */
  readonly maxFailures?: number | undefined;
}

/** The attempt that holds the unit now. */
export interface Claim {
  readonly host: HostId;
  readonly generation: HostGeneration;
  readonly reservation: ReservationId;
  /** Fencing token: grows from claim to claim of a unit. */
  readonly sequence: Sequence;
  /** Version of the spec that the attempt was started with. */
  readonly specVersion: Sequence;
}

export type UnitPhase = "open" | "claimed" | "finished";
export type FinishKind = "succeeded" | "failed" | "cancelled";

export interface Unit {
  readonly id: UnitId;
  readonly spec: UnitSpec;
  /** Sequence of the record that set the spec. */
  readonly specVersion: Sequence;
  /** False once it is cancelled or its declaration is gone. */
  readonly wanted: boolean;
  readonly phase: UnitPhase;
  /** The attempt that is open or claimed; the last one when finished. */
  readonly attempt: number;
  readonly claim?: Claim | undefined;
  readonly checkpoint?: string | undefined;
  readonly failures: number;
  readonly finish?: FinishKind | undefined;
  readonly lastEnd?: EndKind | undefined;
  readonly lastDetail?: string | undefined;
}

const sharedSpec = (
  declaration: ServiceDeclaration | JobDeclaration | StandingWorkerDeclaration,
) => ({
  team: declaration.team,
  resources: declaration.resources,
  program: declaration.program,
});

export const serviceSpec = (declaration: ServiceDeclaration): UnitSpec => ({
  kind: "service",
  priority: "urgent",
  service: declaration.name,
  ...sharedSpec(declaration),
});

export const standingWorkerSpec = (
  declaration: StandingWorkerDeclaration,
): UnitSpec => ({
  kind: "worker",
  priority: "normal",
  ...sharedSpec(declaration),
});

export const jobSpec = (declaration: JobDeclaration): UnitSpec => ({
  kind: "job",
  priority: declaration.priority,
  maxFailures: declaration.maxFailures,
  ...sharedSpec(declaration),
});

export const jobUnitId = (name: string): UnitId => unitId(`job/${name}`);

export const replicaUnitId = (
  kind: "service" | "worker",
  name: string,
  replica: number,
): UnitId => unitId(`${kind}/${name}/${replica}`);

/** `service/roll-call/3` belongs to `service/roll-call/`; each job is by itself. */
export const replicaGroupOf = ({ id, spec }: Unit): string =>
  spec.kind === "job" ? id : id.slice(0, id.lastIndexOf("/") + 1);
