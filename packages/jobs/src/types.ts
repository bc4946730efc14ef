/** The views and ports through which units are placed, started and stopped on hosts. */

import type {
  AvailabilityZone,
  HostGeneration,
  HostId,
  Incarnation,
  Rack,
  ReservationId,
  Resources,
  TaskId,
  UnitId,
} from "@rackspan/common";
import type { TaskStatus } from "@rackspan/protocol";
import type { Unit } from "@rackspan/state";

/** An entry's current view of a host. It may be stale; the side makes the decision. */
export interface HostView {
  readonly host: HostId;
  readonly generation: HostGeneration;
  readonly incarnation: Incarnation;
  readonly availabilityZone: AvailabilityZone;
  readonly rack: Rack;
  readonly capacity: Resources;
  /** Free resources in the side's last status, minus this entry's reservations since then. */
  readonly free: Resources;
  readonly ready: boolean;
  readonly leaving: boolean;
  readonly tasks: readonly TaskStatus[];
  /** Units that this entry is placing there and that `tasks` does not list yet. */
  readonly placing: readonly UnitId[];
}

export interface HostReservation {
  readonly reservation: ReservationId;
  readonly generation: HostGeneration;
}

/** Calls to the side process of one host; each may fail with an RPC error. */
export interface HostControl {
  reserve(unit: Unit): Promise<HostReservation>;
  releaseReservation(reservation: ReservationId): Promise<void>;
  start(unit: Unit): Promise<void>;
  stop(task: TaskId, checkpoint: boolean): Promise<void>;
  /** @returns `never` when the task is not on the host and can no longer start there */
  fenceTask(task: TaskId): Promise<"held" | "never">;
  acknowledge(tasks: readonly TaskId[]): Promise<void>;
  /** Drains the host: its tasks are checkpointed and stopped. */
  drain(): Promise<void>;
}

/** All hosts known to this entry. */
export interface HostDirectory {
  views(): readonly HostView[];
  /** Names of all hosts, including those that have not reported a status yet. */
  names(): readonly HostId[];
  view(host: HostId): HostView | undefined;
  control(host: HostId): HostControl | undefined;
}

/** Chooses hosts for units; see the scheduling package for implementations. */
export interface Placer {
  /** Hosts on which the unit fits, best first; empty if it fits on none. */
  rank(unit: Unit, hosts: readonly HostView[]): readonly HostView[];
}

/** Ranks the entries for each key, so that two of them seldom do the same work. */
export interface Ownership {
  /** 0 for the entry that acts immediately; an entry of a higher rank waits longer. */
  rank(key: string): number;
}
