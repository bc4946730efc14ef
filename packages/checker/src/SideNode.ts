/** The components of a side process, without its listener, on a clock that can be paused. */

import {
  freshId,
  Metrics,
  silentLogger,
  type Clock,
  type Incarnation,
} from "@rackspan/common";
import type { Worker } from "@rackspan/ports";
import type { Handlers, SideMethods } from "@rackspan/protocol";
import {
  AdmissionGate,
  Commitments,
  createSideHandlers,
  RequestFences,
  sideSettingsSchema,
  StatusPublisher,
  TaskSupervisor,
} from "@rackspan/side";
import { ProcessClock } from "./ProcessClock.js";

export interface SideNodeOptions {
  readonly host: string;
  readonly generation: number;
  readonly clock: Clock;
  readonly worker: Worker;
  readonly expireReservations: boolean;
}

export class SideNode {
  /** Name and generation of the host, as in histories. */
  readonly label: string;
  readonly clock: ProcessClock;
  readonly incarnation = freshId<Incarnation>();
  readonly fences: RequestFences;
  readonly statusPublisher: StatusPublisher;
  readonly handlers: Handlers<SideMethods>;
  readonly tasks: TaskSupervisor;
  private readonly stop = new AbortController();

  constructor(options: SideNodeOptions) {
    const { host, generation, worker, expireReservations } = options;
    this.label = `${host}@${generation}`;
    this.clock = new ProcessClock(options.clock);
    const { clock, incarnation } = this;
    const settings = sideSettingsSchema.parse({
      host,
      generation,
      availabilityZone: "zone-a",
      rack: "r1",
      listen: { address: "127.0.0.1", port: 0 },
      worker: { url: "http://127.0.0.1:1" },
      security: { mode: "development" },
      tasks: { leaseMs: 3_000, renewEveryMs: 500, reservationTtlMs: 2_000 },
    });
    const { leaseMs, renewEveryMs, reservationTtlMs } = settings.tasks;
    const shared = {
      clock,
      incarnation,
      metrics: new Metrics(),
      logger: silentLogger,
    };
    const commitments = new Commitments({
      clock,
      reservationTtlMs,
      expireReservations,
    });
    this.tasks = new TaskSupervisor({
      ...shared,
      worker,
      commitments,
      leaseMs,
      renewEveryMs,
    });
    const gate = new AdmissionGate({ clock, ...settings.admission });
    this.fences = new RequestFences(clock, 1_000);
    const { tasks, fences } = this;
    this.statusPublisher = new StatusPublisher({
      settings,
      incarnation,
      tasks,
      commitments,
      gate,
      clock,
    });
    this.handlers = createSideHandlers({
      ...shared,
      settings,
      tasks,
      commitments,
      fences,
      statusPublisher: this.statusPublisher,
    });
  }

  start(): void {
    const { signal } = this.stop;
    this.tasks
      .adopt(signal)
      .then(() => this.tasks.renewLeases(signal))
      .catch(() => undefined);
  }

  kill(): void {
    this.stop.abort();
    this.clock.kill();
  }
}
