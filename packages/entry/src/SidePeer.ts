/** The connection of this entry to one side process; a task keeps its status up to date. */

import {
  AbortedError,
  Emitter,
  jitter,
  NO_RESOURCES,
  addResources,
  sleep,
  subtractResources,
  taskIdOf,
  type Clock,
  type EntryId,
  type Logger,
  type Metrics,
  type Monotonic,
  type Random,
  type ReservationId,
  type Resources,
  type ServiceName,
  type TaskId,
  type UnitId,
} from "@rackspan/common";
import type { HostControl, HostView, HostReservation } from "@rackspan/jobs";
import type { HostRecord } from "@rackspan/ports";
import {
  parseAddress,
  RpcClient,
  SIDE_METHODS,
  type ParamsOf,
  type ResultOf,
  type SideMethods,
  type SideStatus,
  type TaskStatus,
} from "@rackspan/protocol";
import type { Unit } from "@rackspan/state";
import { EndpointState } from "./EndpointState.js";

export interface SidePeerOptions {
  readonly record: HostRecord;
  readonly entry: EntryId;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly syncMs: number;
}

const SYNC_MARGIN_MS = 2_000;
const RETRY_MS = 100;
const MAX_RETRY_MS = 2_000;
const CONTROL_TIMEOUT_MS = 3_000;
const START_TIMEOUT_MS = 10_000;
/** A placement that does not appear in the status within this time counts as failed. */
const PLACING_TIMEOUT_MS = 15_000;
/** Consecutive failed calls after which requests are sent to other sides. */
const FAILURES_TO_AVOID = 2;

export class SidePeer implements HostControl {
  /** Emits each new status. */
  readonly changed = new Emitter<void>();
  readonly record: HostRecord;
  private readonly rpc: RpcClient<SideMethods>;
  private status: SideStatus | undefined;
  private tasks: readonly TaskStatus[] = [];
  private services: ReadonlySet<ServiceName> = new Set();
  private endpointState: EndpointState | undefined;
  /** Resources that were reserved since the last status. */
  private reserved: Resources = NO_RESOURCES;
  /** Units that this entry is placing on the host and that are not in the status yet. */
  private readonly placing = new Map<UnitId, Monotonic>();
  private failures = 0;
  private readonly closed = new AbortController();

  constructor(private readonly options: SidePeerOptions) {
    this.record = options.record;
    this.rpc = new RpcClient(SIDE_METHODS, `http://${options.record.address}`);
  }

  /** Load and latency for routing; undefined before the first status. */
  get endpoint(): EndpointState | undefined {
    return this.endpointState;
  }

  /** Whether new requests of the service may be sent to the side. */
  serves(service: ServiceName): boolean {
    const usable = this.status?.ready === true && !this.status.leaving;
    return (
      usable && this.failures < FAILURES_TO_AVOID && this.services.has(service)
    );
  }

  get leaving(): boolean {
    return this.status?.leaving === true;
  }

  get view(): HostView | undefined {
    const { status, tasks } = this;
    if (!status) return undefined;
    const free = subtractResources(status.free, this.reserved);
    return { ...status, tasks, free, placing: [...this.placing.keys()] };
  }

  /** Follows the side's status until `close`. */
  async run(): Promise<void> {
    const { clock, random, metrics } = this.options;
    const { signal } = this.closed;
    let retryMs = RETRY_MS;
    while (!signal.aborted) {
      try {
        await this.syncOnce(signal);
        this.failures = 0;
        retryMs = RETRY_MS;
      } catch (err) {
        if (signal.aborted || err instanceof AbortedError) return;
        this.failures += 1;
        if (this.failures === FAILURES_TO_AVOID) this.changed.emit();
        metrics.count("side_sync_errors");
        await sleep(clock, jitter(random, retryMs), signal).catch(
          () => undefined,
        );
        retryMs = Math.min(retryMs * 2, MAX_RETRY_MS);
      }
    }
  }

  close(): void {
    this.closed.abort();
    this.rpc.close();
  }

  async reserve(unit: Unit): Promise<HostReservation> {
    const { id, attempt, spec } = unit;
    // Counted before the response arrives, so that concurrent placements take it into account.
    this.reserved = addResources(this.reserved, spec.resources);
    this.placing.set(id, this.options.clock.monotonic());
    try {
      return await this.control("reserve", {
        task: taskIdOf(id, attempt),
        unit: id,
        attempt,
        kind: spec.kind,
        service: spec.service,
        resources: spec.resources,
      });
    } catch (err) {
      this.placing.delete(id);
      throw err;
    }
  }

  async releaseReservation(reservation: ReservationId): Promise<void> {
    await this.control("releaseReservation", { reservation });
  }

  async start(unit: Unit): Promise<void> {
    const { id, attempt, claim, spec, checkpoint } = unit;
    if (!claim) return;
    await this.rpc.call(
      "start",
      {
        reservation: claim.reservation,
        task: taskIdOf(id, attempt),
        fencingToken: claim.sequence,
        program: spec.program,
        checkpoint,
      },
      { timeoutMs: START_TIMEOUT_MS },
    );
  }

  async stop(task: TaskId, checkpoint: boolean): Promise<void> {
    await this.control("stop", { task, checkpoint });
  }

  async throttle(task: TaskId, share: number): Promise<void> {
    await this.control("throttle", { task, share });
  }

  async fenceTask(task: TaskId): Promise<"held" | "never"> {
    return (await this.control("fenceTask", { task })).state;
  }

  async acknowledge(tasks: readonly TaskId[]): Promise<void> {
    await this.control("acknowledge", { tasks: [...tasks] });
  }

  async drain(): Promise<void> {
    await this.rpc.call("drain", {}, { timeoutMs: START_TIMEOUT_MS });
  }

  /** Whether the attempt started at that incarnation of the side; if not, it never will. */
  async fenceRequest(
    params: ParamsOf<SideMethods, "fenceRequest">,
    timeoutMs: number,
  ): Promise<"yes" | "no" | "unknown"> {
    return (await this.rpc.call("fenceRequest", params, { timeoutMs })).started;
  }

  private control<M extends keyof SideMethods & string>(
    method: M,
    params: ParamsOf<SideMethods, M>,
  ): Promise<ResultOf<SideMethods, M>> {
    return this.rpc.call(method, params, { timeoutMs: CONTROL_TIMEOUT_MS });
  }

  private async syncOnce(signal: AbortSignal): Promise<void> {
    const { entry, syncMs } = this.options;
    const known = this.status;
    const status = await this.rpc.call(
      "sync",
      {
        entry,
        knownRevision: known?.revision ?? -1,
        waitMs: syncMs,
        ...(known ? { knownIncarnation: known.incarnation } : {}),
      },
      { timeoutMs: syncMs + SYNC_MARGIN_MS, signal },
    );
    this.applyStatus(status);
  }

  private removePlaced(tasks: readonly TaskStatus[]): void {
    const oldest = this.options.clock.monotonic() - PLACING_TIMEOUT_MS;
    for (const { unit } of tasks) this.placing.delete(unit);
    for (const [unit, since] of this.placing) {
      if (since < oldest) this.placing.delete(unit);
    }
  }

  private applyStatus(status: SideStatus): void {
    const { clock } = this.options;
    const isNewIncarnation = this.status?.incarnation !== status.incarnation;
    const wasAvoided = this.failures >= FAILURES_TO_AVOID;
    this.status = status;
    this.reserved = NO_RESOURCES;
    if (isNewIncarnation || !this.endpointState) {
      this.endpointState = new EndpointState(
        status,
        parseAddress(this.record.address),
      );
    }
    this.endpointState.recordBusySlots(status.busySlots, clock.monotonic());
    if (!status.tasks) {
      if (wasAvoided) this.changed.emit();
      return;
    }
    this.tasks = status.tasks;
    this.removePlaced(status.tasks);
    this.services = new Set(runningServices(status.tasks));
    this.changed.emit();
  }
}

const runningServices = (tasks: readonly TaskStatus[]): ServiceName[] =>
  tasks.flatMap(({ state, service }) =>
    state === "running" && service ? [service] : [],
  );
