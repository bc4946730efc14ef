/** Publishes this side's status to entries, with a revision on whose change they can wait. */

import {
  ChangeSignal,
  type Clock,
  type HostGeneration,
  type HostId,
  type Incarnation,
} from "@rackspan/common";
import type { SideStatus, TaskStatus } from "@rackspan/protocol";
import type { AdmissionGate } from "./AdmissionGate.js";
import type { Commitments } from "./Commitments.js";
import type { SideSettings } from "./settings.js";
import type { HeldTask, TaskSupervisor } from "./TaskSupervisor.js";

export interface StatusPublisherOptions {
  readonly settings: SideSettings;
  readonly incarnation: Incarnation;
  readonly tasks: TaskSupervisor;
  readonly commitments: Commitments;
  readonly gate: AdmissionGate;
  readonly clock: Clock;
}

/** The status version that an entry already has. */
export interface KnownStatus {
  readonly incarnation: Incarnation | undefined;
  readonly revision: number;
}

export class StatusPublisher {
  private revision = 0;
  private isLeaving = false;
  private closed = false;
  private readonly changed = new ChangeSignal();

  constructor(private readonly options: StatusPublisherOptions) {
    options.tasks.changed.on(() => this.incrementRevision());
  }

  get leaving(): boolean {
    return this.isLeaving;
  }

  /** Publishes that the host is leaving, so that entries send nothing new. */
  startLeaving(): void {
    this.isLeaving = true;
    this.incrementRevision();
  }

  /** Answers all waiting entries; later reads do not wait. */
  close(): void {
    this.closed = true;
    this.changed.notify();
  }

  /** @returns the status, at once when it differs from `known`, else after a change or `waitMs` */
  async read(known: KnownStatus, waitMs: number): Promise<SideStatus> {
    const isUnchanged = (): boolean =>
      known.incarnation === this.options.incarnation &&
      known.revision === this.revision;
    if (isUnchanged() && !this.closed)
      await this.changed.wait(this.options.clock, waitMs);
    return this.snapshot(!isUnchanged());
  }

  private incrementRevision(): void {
    this.revision += 1;
    this.changed.notify();
  }

  private snapshot(withTasks: boolean): SideStatus {
    const { settings, incarnation, tasks, commitments, gate } = this.options;
    const status = {
      host: settings.host as HostId,
      generation: settings.generation as HostGeneration,
      incarnation,
      availabilityZone: settings.availabilityZone,
      rack: settings.rack,
      revision: this.revision,
      ready: tasks.ready,
      leaving: this.isLeaving,
      capacity: commitments.total,
      free: floorAtZero(commitments.free),
      slots: settings.admission.slots,
      busySlots: gate.busySlots,
    };
    return withTasks
      ? { ...status, tasks: tasks.list().map(toStatus) }
      : status;
  }
}

const floorAtZero = ({
  processors,
  memoryMiB,
  accelerators,
}: SideStatus["free"]) => ({
  processors: Math.max(0, processors),
  memoryMiB: Math.max(0, memoryMiB),
  accelerators: Math.max(0, accelerators),
});

const toStatus = ({
  identity,
  fencingToken,
  state,
  end,
  detail,
  checkpoint,
}: HeldTask): TaskStatus => ({
  ...identity,
  fencingToken,
  state: state === "stopped" ? "stopping" : state,
  end,
  detail: detail?.slice(0, 1_000),
  checkpoint,
});
