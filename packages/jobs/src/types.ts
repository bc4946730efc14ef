/** What the control of units sees of hosts, and the ports it acts through. */

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

/** A host as one entry sees it now; may be stale, the side decides. */
export interface HostView {
  readonly host: HostId;
  readonly generation: HostGeneration;
  readonly incarnation: Incarnation;
  readonly availabilityZone: AvailabilityZone;
  readonly rack: Rack;
  readonly capacity: Resources;
  /** Free by the side's last status, less what this entry has reserved since. */
  readonly free: Resources;
  readonly ready: boolean;
  readonly leaving: boolean;
  readonly tasks: readonly TaskStatus[];
  /** Units that this entry is placing there and `tasks` does not show yet. */
  readonly placing: readonly UnitId[];
}

export interface HostReservation {
  readonly reservation: ReservationId;
  readonly generation: HostGeneration;
}

/** Calls to the side process of one host; each may fail as RPC does. */
export interface HostControl {
  reserve(unit: Unit): Promise<HostReservation>;
  releaseReservation(reservation: ReservationId): Promise<void>;
  start(unit: Unit): Promise<void>;
  stop(task: TaskId, checkpoint: boolean): Promise<void>;
  /** @returns `never` when the task is not there and never will be */
  fenceTask(task: TaskId): Promise<"held" | "never">;
  acknowledge(tasks: readonly TaskId[]): Promise<void>;
  /** Takes the host out of service; its tasks are checkpointed and stopped. */
  drain(): Promise<void>;
}

/** All hosts that this entry knows. */
export interface HostDirectory {
  views(): readonly HostView[];
  /** Names of all hosts, whether they have been heard of yet or not. */
  names(): readonly HostId[];
  view(host: HostId): HostView | undefined;
  control(host: HostId): HostControl | undefined;
}

/** Chooses hosts for units; see the scheduling package for implementations. */
export interface Placer {
  /** Hosts that may hold the unit, the best first; empty when none can now. */
  rank(unit: Unit, hosts: readonly HostView[]): readonly HostView[];
}

/** Tells which entry acts first, so that entries seldom do the same work. */
export interface Ownership {
  /** 0 for the entry that acts at once; others wait their turn. */
  rank(key: string): number;
}
