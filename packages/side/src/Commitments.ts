/**
 * Tracks the resources of this host that are reserved or committed to tasks. This is the only
 * place where resources are allocated. All methods are synchronous, so no two calls interleave.
 */

import {
  addResources,
  firstShortage,
  freshId,
  NO_RESOURCES,
  subtractResources,
  type Clock,
  type Monotonic,
  type ReservationId,
  type Resources,
  type TaskId,
} from "@rackspan/common";
import { OverCommitError, ReservationGoneError } from "./errors.js";
import type { TaskIdentity } from "./taskIdentity.js";

export interface Reservation {
  readonly id: ReservationId;
  readonly identity: TaskIdentity;
  readonly resources: Resources;
  readonly expiresAt: Monotonic;
}

export interface CommitmentsOptions {
  readonly clock: Clock;
  readonly reservationTtlMs: number;
  /** Disabled only by the test that shows why reservations expire. */
  readonly expireReservations?: boolean;
}

export class Commitments {
  private capacity: Resources = NO_RESOURCES;
  private readonly committed = new Map<TaskId, Resources>();
  private readonly reservations = new Map<ReservationId, Reservation>();

  constructor(private readonly options: CommitmentsOptions) {}

  setCapacity(capacity: Resources): void {
    this.capacity = capacity;
  }

  get total(): Resources {
    return this.capacity;
  }

  /** Resources held neither by a task nor by a reservation. May be negative after capacity shrinks. */
  get free(): Resources {
    this.dropExpired();
    let used = NO_RESOURCES;
    for (const resources of this.committed.values())
      used = addResources(used, resources);
    for (const { resources } of this.reservations.values()) {
      used = addResources(used, resources);
    }
    return subtractResources(this.capacity, used);
  }

  /** @throws OverCommitError */
  reserve(identity: TaskIdentity, resources: Resources): Reservation {
    const { free } = this;
    if (firstShortage(resources, free)) {
      throw new OverCommitError(identity.task, resources, free);
    }
    const { clock, reservationTtlMs } = this.options;
    const expiresAt = clock.monotonic() + reservationTtlMs;
    const id = freshId<ReservationId>();
    const reservation = { id, identity, resources, expiresAt };
    this.reservations.set(id, reservation);
    return reservation;
  }

  release(id: ReservationId): void {
    this.reservations.delete(id);
  }

  /** Releases the task's reservations, so that it can never start under one of this process. */
  releaseFor(task: TaskId): void {
    for (const { id, identity } of this.reservations.values()) {
      if (identity.task === task) this.reservations.delete(id);
    }
  }

  /**
   * Turns the reservation into a commitment.
   * @throws ReservationGoneError when it is unknown, has expired or belongs to another task
   */
  commit(id: ReservationId, task: TaskId): Reservation {
    this.dropExpired();
    const reservation = this.reservations.get(id);
    if (reservation?.identity.task !== task)
      throw new ReservationGoneError(task);
    this.reservations.delete(id);
    this.committed.set(task, reservation.resources);
    return reservation;
  }

  /** Commits resources to a task that the worker ran already when this process started. */
  adopt(task: TaskId, resources: Resources): void {
    this.committed.set(task, resources);
  }

  uncommit(task: TaskId): void {
    this.committed.delete(task);
  }

  private dropExpired(): void {
    if (this.options.expireReservations === false) return;
    const now = this.options.clock.monotonic();
    for (const { id, expiresAt } of this.reservations.values()) {
      if (expiresAt <= now) this.reservations.delete(id);
    }
  }
}
