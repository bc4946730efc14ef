/**
 * Supervises the tasks of this host: starts, renews and stops them at the worker, and
 * reports each end until an entry acknowledges that it is on the log.
 */

import {
  AbortedError,
  describeError,
  Emitter,
  sleep,
  type Clock,
  type Incarnation,
  type Logger,
  type Metrics,
  type ReservationId,
  type Sequence,
  type ServiceName,
  type TaskId,
} from "@rackspan/common";
import {
  WorkerRefusedError,
  type Worker,
  type WorkerState,
  type WorkerTask,
} from "@rackspan/ports";
import type { EndKind, Program, TaskStatus } from "@rackspan/protocol";
import type { Commitments } from "./Commitments.js";
import { ReservationGoneError, UnknownTaskError } from "./errors.js";
import {
  identityFromNotes,
  notesOf,
  type TaskIdentity,
} from "./taskIdentity.js";

export interface TaskSupervisorOptions {
  readonly worker: Worker;
  readonly commitments: Commitments;
  readonly incarnation: Incarnation;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly leaseMs: number;
  readonly renewEveryMs: number;
}

export interface StartRequest {
  readonly reservation: ReservationId;
  readonly task: TaskId;
  readonly fencingToken: Sequence;
  readonly program: Program;
  readonly checkpoint?: string | undefined;
}

export interface HeldTask {
  readonly identity: TaskIdentity;
  readonly fencingToken: Sequence;
  /** `stopped`: the worker has confirmed the stop, but has not reported the end yet. */
  readonly state: TaskStatus["state"] | "stopped";
  readonly end?: EndKind | undefined;
  readonly detail?: string | undefined;
  readonly checkpoint?: string | undefined;
  /** The address at which it answers requests, once the worker has reported it. */
  readonly address?: string | undefined;
}

const ADOPT_RETRY_MS = 200;
const MAX_FENCED_TASKS = 10_000;

export class TaskSupervisor {
  /** Emitted on each change of any task. */
  readonly changed = new Emitter<void>();
  private readonly tasks = new Map<TaskId, HeldTask>();
  private readonly fenced = new Set<TaskId>();
  /** Stop orders that the worker has not confirmed yet, and whether to save a checkpoint. */
  private readonly stopOrders = new Map<TaskId, boolean>();
  private isAdopted = false;

  constructor(private readonly options: TaskSupervisorOptions) {}

  /** Whether the worker has listed its tasks; nothing is admitted before. */
  get ready(): boolean {
    return this.isAdopted;
  }

  list(): readonly HeldTask[] {
    return [...this.tasks.values()];
  }

  /** Running tasks that answer requests for the service. */
  endpointsOf(service: ServiceName): readonly HeldTask[] {
    return this.list().filter(
      ({ identity, state, address }) =>
        identity.service === service &&
        state === "running" &&
        address !== undefined,
    );
  }

  /** Takes over the worker and adopts the tasks that it runs. Retries until it succeeds. */
  async adopt(signal: AbortSignal): Promise<void> {
    const { worker, incarnation, clock, logger } = this.options;
    while (!this.isAdopted) {
      try {
        this.adoptAll(await worker.takeOver(incarnation));
      } catch (err) {
        logger.warn("worker.unreachable", { error: describeError(err) });
        await sleep(clock, ADOPT_RETRY_MS, signal);
      }
    }
  }

  /** Renews leases and detects ended tasks until the signal aborts. */
  async renewLeases(signal: AbortSignal): Promise<void> {
    const { clock, renewEveryMs, logger } = this.options;
    try {
      for (;;) {
        await sleep(clock, renewEveryMs, signal);
        await this.refresh().catch((err: unknown) =>
          logger.warn("lease.renew-failed", { error: describeError(err) }),
        );
      }
    } catch (err) {
      if (!(err instanceof AbortedError)) throw err;
    }
  }

  /** Renews the leases of all running tasks and applies the states that the worker reports. */
  async refresh(): Promise<void> {
    const { worker, incarnation, leaseMs, metrics } = this.options;
    await this.repeatStops();
    const running = this.list()
      .filter(({ state }) => state === "running" || state === "stopped")
      .map(({ identity }) => identity.task);
    const state = await worker.renew(incarnation, running, leaseMs);
    metrics.count("leases_renewed", {}, running.length);
    this.options.commitments.setCapacity(state.capacity);
    const known = new Map(state.tasks.map((task) => [task.task, task]));
    for (const task of running) this.applyWorkerState(task, known.get(task));
  }

  isFenced(task: TaskId): boolean {
    return this.fenced.has(task);
  }

  /** @throws ReservationGoneError; a failure at the worker is not thrown, but ends the attempt */
  async start(request: StartRequest): Promise<void> {
    const { task } = request;
    if (this.tasks.has(task)) return;
    if (this.fenced.has(task)) throw new ReservationGoneError(task);
    const { identity, resources } = this.options.commitments.commit(
      request.reservation,
      task,
    );
    this.update({
      identity,
      fencingToken: request.fencingToken,
      state: "starting",
    });
    await this.startAtWorker(request, identity, resources);
  }

  /** @throws UnknownTaskError */
  async stop(task: TaskId, checkpoint: boolean): Promise<void> {
    const held = this.tasks.get(task);
    if (!held) throw new UnknownTaskError(task);
    if (held.state === "ended") return;
    this.update({ ...held, state: "stopping" });
    this.options.logger.info("task.stop", { task, checkpoint });
    this.stopOrders.set(task, checkpoint);
    await this.refresh();
  }

  /** Repeats unconfirmed stops. A stop is final at the worker: it also refuses a late start. */
  private async repeatStops(): Promise<void> {
    const { worker, incarnation, logger } = this.options;
    for (const [task, checkpoint] of this.stopOrders) {
      try {
        await worker.stop(incarnation, task, checkpoint);
      } catch (err) {
        logger.warn("task.stop-failed", { task, error: describeError(err) });
        continue;
      }
      this.stopOrders.delete(task);
      const held = this.tasks.get(task);
      if (held?.state === "stopping")
        this.update({ ...held, state: "stopped" });
    }
  }

  /** @throws UnknownTaskError when the task does not run here */
  async throttle(task: TaskId, share: number): Promise<void> {
    if (this.tasks.get(task)?.state !== "running")
      throw new UnknownTaskError(task);
    const { worker, incarnation, logger, metrics } = this.options;
    await worker.throttle(incarnation, task, share);
    metrics.count("tasks_throttled");
    logger.info("task.throttled", { task, share });
  }

  /** Stops every running task with a checkpoint, so that its unit can continue elsewhere. */
  async stopAll(): Promise<void> {
    for (const { identity, state } of this.list()) {
      if (state !== "running") continue;
      await this.stop(identity.task, true).catch((err: unknown) =>
        this.options.logger.warn("task.stop-failed", {
          task: identity.task,
          error: describeError(err),
        }),
      );
    }
  }

  /** @returns whether the task is held here; if not, it never will be */
  fence(task: TaskId): "held" | "never" {
    if (this.tasks.has(task)) return "held";
    this.options.commitments.releaseFor(task);
    this.fenced.add(task);
    if (this.fenced.size > MAX_FENCED_TASKS) {
      this.fenced.delete(this.fenced.values().next().value as TaskId);
    }
    return "never";
  }

  /** Removes ended tasks, whose ends are on the log, here and at the worker. */
  async acknowledge(tasks: readonly TaskId[]): Promise<void> {
    const { worker, incarnation, logger } = this.options;
    for (const task of tasks) {
      if (this.tasks.get(task)?.state !== "ended") continue;
      this.tasks.delete(task);
      this.changed.emit();
      await worker.forget(incarnation, task).catch((err: unknown) =>
        logger.debug("task.forget-failed", {
          task,
          error: describeError(err),
        }),
      );
    }
  }

  private async startAtWorker(
    request: StartRequest,
    identity: TaskIdentity,
    resources: WorkerTask["resources"],
  ): Promise<void> {
    const { worker, incarnation, leaseMs, logger, metrics } = this.options;
    const { task, fencingToken, program, checkpoint } = request;
    const notes = notesOf(identity);
    try {
      const status = await worker.start(incarnation, {
        task,
        program,
        resources,
        leaseMs,
        fencingToken,
        notes,
        ...(checkpoint === undefined ? {} : { checkpoint }),
      });
      metrics.count("tasks_started", { kind: identity.kind });
      logger.info("task.started", { task, fencingToken });
      this.applyWorkerState(task, status);
    } catch (err) {
      const detail = describeError(err);
      logger.warn("task.start-failed", { task, error: detail });
      if (err instanceof WorkerRefusedError)
        this.recordEnd(task, "failed", detail);
      else this.stopUncertain(task);
    }
  }

  /** Stops a task whose start may still take effect: only a confirmed stop rules that out. */
  private stopUncertain(task: TaskId): void {
    const held = this.tasks.get(task);
    if (!held) return;
    this.update({ ...held, state: "stopping" });
    this.stopOrders.set(task, false);
  }

  private adoptAll(state: WorkerState): void {
    const { commitments, logger } = this.options;
    commitments.setCapacity(state.capacity);
    for (const status of state.tasks) {
      const identity = identityFromNotes(status);
      if (!identity) {
        logger.warn("task.foreign", { task: status.task });
        commitments.adopt(status.task, status.resources);
        continue;
      }
      const { fencingToken } = status;
      this.tasks.set(status.task, { identity, fencingToken, state: "running" });
      commitments.adopt(status.task, status.resources);
      this.applyWorkerState(status.task, status);
      logger.info("task.adopted", { task: status.task, state: status.state });
    }
    this.isAdopted = true;
    this.changed.emit();
  }

  /** Applies the state that the worker reports; undefined means that the task does not run there. */
  private applyWorkerState(task: TaskId, status: WorkerTask | undefined): void {
    const held = this.tasks.get(task);
    if (!held || held.state === "ended") return;
    if (!status) {
      this.recordEnd(task, "lost", "the worker does not know it");
      return;
    }
    if (status.state === "running") {
      const state = held.state === "starting" ? "running" : held.state;
      if (state === held.state && status.address === held.address) return;
      this.update({ ...held, state, address: status.address });
      return;
    }
    const end = status.state === "lapsed" ? "lost" : status.state;
    this.recordEnd(task, end, status.detail, status.checkpoint);
  }

  private recordEnd(
    task: TaskId,
    end: EndKind,
    detail?: string,
    checkpoint?: string,
  ): void {
    const held = this.tasks.get(task);
    if (!held) return;
    this.options.commitments.uncommit(task);
    this.options.metrics.count("tasks_ended", { end });
    this.options.logger.info("task.ended", { task, end, detail });
    const { identity, fencingToken } = held;
    this.update({
      identity,
      fencingToken,
      state: "ended",
      end,
      detail,
      checkpoint,
    });
  }

  private update(held: HeldTask): void {
    this.tasks.set(held.identity.task, held);
    this.changed.emit();
  }
}
