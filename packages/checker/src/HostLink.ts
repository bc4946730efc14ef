/** The connection of one entry to the side process of one host, with faults. */

import {
  sleep,
  taskIdOf,
  type Clock,
  type Incarnation,
  type ReservationId,
  type TaskId,
} from "@rackspan/common";
import type { AttemptPeer } from "@rackspan/entry";
import { EndpointState } from "@rackspan/entry";
import type { HostControl, HostView, HostReservation } from "@rackspan/jobs";
import {
  ConnectError,
  LostAnswerError,
  RemoteError,
  type ParamsOf,
  type SideMethods,
  type SideStatus,
} from "@rackspan/protocol";
import { RackspanError } from "@rackspan/common";
import type { Unit } from "@rackspan/state";
import type { HostRecord } from "@rackspan/ports";
import type { SideNode } from "./SideNode.js";

export interface HostLinkOptions {
  readonly host: string;
  /** The clock of the calling entry. */
  readonly clock: Clock;
  /** Returns the side process that currently runs on the host. */
  readonly side: () => SideNode | undefined;
  readonly isCut: () => boolean;
  /** Switches of mutants. */
  readonly skipTaskFence: boolean;
  readonly skipRequestFence: boolean;
}

const CALL_MS = 2;
const TIMEOUT_MS = 1_500;
const ADDRESS = { host: "127.0.0.1", port: 1 };

export class HostLink implements HostControl, AttemptPeer {
  /** Number of next calls whose answers are lost after they took effect. */
  loseAnswers = 0;
  endpoint: EndpointState | undefined;
  readonly record: HostRecord;
  private status: SideStatus | undefined;

  constructor(private readonly options: HostLinkOptions) {
    this.record = { host: options.host } as HostRecord;
  }

  get view(): HostView | undefined {
    if (!this.status) return undefined;
    return { ...this.status, tasks: this.status.tasks ?? [], placing: [] };
  }

  /** Whether requests may be sent to the host. */
  get serves(): boolean {
    return (
      this.status?.ready === true &&
      !this.status.leaving &&
      !this.options.isCut()
    );
  }

  async sync(): Promise<void> {
    this.status = await this.call((side) =>
      side.statusPublisher.read({ incarnation: undefined, revision: -1 }, 0),
    );
    if (this.endpoint?.incarnation === this.status.incarnation) return;
    this.endpoint = new EndpointState(this.status, ADDRESS);
  }

  async reserve(unit: Unit): Promise<HostReservation> {
    const { id, attempt, spec } = unit;
    const { kind, service, resources } = spec;
    const task = taskIdOf(id, attempt);
    return this.call((side) =>
      side.handlers.reserve({
        task,
        unit: id,
        attempt,
        kind,
        service,
        resources,
      }),
    );
  }

  async releaseReservation(reservation: ReservationId): Promise<void> {
    await this.call((side) =>
      side.handlers.releaseReservation({ reservation }),
    );
  }

  async start(unit: Unit): Promise<void> {
    const { id, attempt, claim, spec, checkpoint } = unit;
    if (!claim) return;
    const { reservation, sequence: fencingToken } = claim;
    const task = taskIdOf(id, attempt);
    const { program } = spec;
    await this.call((side) =>
      side.handlers.start({
        reservation,
        task,
        fencingToken,
        program,
        checkpoint,
      }),
    );
  }

  async stop(task: TaskId, checkpoint: boolean): Promise<void> {
    await this.call((side) => side.handlers.stop({ task, checkpoint }));
  }

  async fenceTask(task: TaskId): Promise<"held" | "never"> {
    if (this.options.skipTaskFence) return "never";
    return (await this.call((side) => side.handlers.fenceTask({ task }))).state;
  }

  async acknowledge(tasks: readonly TaskId[]): Promise<void> {
    await this.call((side) => side.handlers.acknowledge({ tasks: [...tasks] }));
  }

  async drain(): Promise<void> {
    await this.call((side) => side.handlers.drain({}));
  }

  async fenceRequest(
    params: ParamsOf<SideMethods, "fenceRequest">,
  ): Promise<"yes" | "no" | "unknown"> {
    if (this.options.skipRequestFence) return "no";
    return (await this.call((side) => side.handlers.fenceRequest(params)))
      .started;
  }

  get incarnation(): Incarnation | undefined {
    return this.status?.incarnation;
  }

  /** Calls the side; the call may take effect even after the caller has stopped waiting. */
  private call<T>(effect: (side: SideNode) => Promise<T> | T): Promise<T> {
    const { clock, host } = this.options;
    return new Promise((resolve, reject) => {
      const timer = clock.after(TIMEOUT_MS, () =>
        reject(new LostAnswerError(`${host} did not answer in time`)),
      );
      const settle = (done: () => void): void => {
        timer.cancel();
        done();
      };
      this.exchange(effect).then(
        (value) => settle(() => resolve(value)),
        (err: unknown) => settle(() => reject(toRemote(err))),
      );
    });
  }

  private async exchange<T>(
    effect: (side: SideNode) => Promise<T> | T,
  ): Promise<T> {
    const { clock, side: findSide, isCut, host } = this.options;
    await sleep(clock, CALL_MS);
    const side = findSide();
    if (!side || isCut()) throw new ConnectError(host, "the link is cut");
    await side.clock.running();
    const value = await effect(side);
    if (side.clock.isDead || isCut())
      throw new LostAnswerError(`${host} became unreachable during the call`);
    if (this.loseAnswers > 0) {
      this.loseAnswers -= 1;
      throw new LostAnswerError(`the answer of ${host} was lost`);
    }
    return value;
  }
}

/** Converts the refusal of a handler to a remote error, as on the wire. */
const toRemote = (err: unknown): unknown => {
  if (!(err instanceof RackspanError)) return err;
  if (err instanceof ConnectError || err instanceof LostAnswerError) return err;
  return new RemoteError(err.kind, err.what, err.remedy);
};
