/** Units, which are placed as a whole, and the state of each. */

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

/** Resources, program and priority that a unit requests. */
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

/** The claim of the current attempt on a unit. */
export interface Claim {
  readonly host: HostId;
  readonly generation: HostGeneration;
  readonly reservation: ReservationId;
  /** Fencing token: increases with each claim of a unit. */
  readonly sequence: Sequence;
  /** Version of the spec with which the attempt was started. */
  readonly specVersion: Sequence;
}

export type UnitPhase = "open" | "claimed" | "finished";
export type FinishKind = "succeeded" | "failed" | "cancelled";

export interface Unit {
  readonly id: UnitId;
  readonly spec: UnitSpec;
  /** Sequence of the record that set the spec. */
  readonly specVersion: Sequence;
  /** False once the unit is cancelled or its declaration is removed. */
  readonly wanted: boolean;
  readonly phase: UnitPhase;
  /** The open or claimed attempt; the last one when the unit has finished. */
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

/**
 * The group of `service/roll-call/3` is `service/roll-call/`; each
 * job is a group of its own.
 */
export const replicaGroupOf = ({ id, spec }: Unit): string =>
  spec.kind === "job" ? id : id.slice(0, id.lastIndexOf("/") + 1);
