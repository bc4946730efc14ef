/** An in-memory worker that models leases and task runs on the given clock. */

import {
  sleep,
  type Clock,
  type Incarnation,
  type Resources,
  type TaskId,
  type Timer,
} from "@rackspan/common";
import {
  WorkerRefusedError,
  WorkerOutcomeUnknownError,
  type StartOrder,
  type UsageSample,
  type Worker,
  type WorkerState,
  type WorkerTask,
} from "@rackspan/ports";
import type { History } from "./history.js";

interface TaskRecord {
  status: WorkerTask;
  progressMs: number;
  readonly startedAt: number;
  readonly endTimer: Timer;
  leaseTimer: Timer;
}

export interface FakeWorkerOptions {
  readonly host: string;
  readonly clock: Clock;
  readonly history: History;
  readonly capacity: Resources;
  /** Mutant: whether the worker executes orders of a replaced side process. */
  readonly ignoreOwner: boolean;
}

const CALL_MS = 2;
const LONGEST_LEASE_MS = 4_000;

export class FakeWorker implements Worker {
  loseAnswers = 0;
  /** Extra delay of the next start order, milliseconds. */
  delayNextStartMs = 0;
  /** Whether calls no longer arrive, so that no process receives the ends of the tasks. */
  private isUnreachable = false;
  private owner: Incarnation | undefined;
  private isKilled = false;
  private readonly tasks = new Map<TaskId, TaskRecord>();
  private readonly stopped = new Set<TaskId>();

  constructor(private readonly options: FakeWorkerOptions) {
    const { host, capacity } = options;
    options.history.record({ type: "capacity", host, capacity });
  }

  /** Ends the host and all tasks on it. */
  kill(): void {
    this.recordLostResults();
    for (const task of this.tasks.keys()) this.end(task, "lapsed");
    this.isKilled = true;
  }

  /**
   * Makes the host unreachable: the platform treats it as lost, but its tasks run until their
   * leases expire.
   */
  abandon(): void {
    this.recordLostResults();
    this.isUnreachable = true;
  }

  /** Records the results of ended tasks that no process may ever receive. */
  private recordLostResults(): void {
    const { history } = this.options;
    for (const { status } of this.tasks.values()) {
      if (status.state !== "succeeded" && status.state !== "checkpointed")
        continue;
      history.record({ type: "resultLost", task: status.task });
    }
  }

  async takeOver(owner: Incarnation): Promise<WorkerState> {
    return this.call(undefined, () => {
      this.owner = owner;
      return this.state();
    });
  }

  list(owner: Incarnation): Promise<WorkerState> {
    return this.call(owner, () => this.state());
  }

  async start(owner: Incarnation, order: StartOrder): Promise<WorkerTask> {
    const delayMs = this.delayNextStartMs;
    this.delayNextStartMs = 0;
    if (delayMs > 0) await sleep(this.options.clock, delayMs);
    return this.call(owner, () => {
      const known = this.tasks.get(order.task);
      if (known) return known.status;
      if (this.stopped.has(order.task))
        throw new WorkerRefusedError("the task was stopped before");
      return this.run(order);
    });
  }

  renew(
    owner: Incarnation,
    tasks: readonly TaskId[],
    leaseMs: number,
  ): Promise<WorkerState> {
    return this.call(owner, () => {
      for (const task of tasks) {
        const record = this.tasks.get(task);
        if (record?.status.state !== "running") continue;
        record.leaseTimer.cancel();
        record.leaseTimer = this.startLeaseTimer(task, leaseMs);
      }
      return this.state();
    });
  }

  stop(owner: Incarnation, task: TaskId, checkpoint: boolean): Promise<void> {
    return this.call(owner, () => {
      this.stopped.add(task);
      if (this.tasks.get(task)?.status.state !== "running") return;
      this.end(task, checkpoint ? "checkpointed" : "stopped");
    });
  }

  throttle(): Promise<void> {
    return Promise.resolve();
  }

  forget(owner: Incarnation, task: TaskId): Promise<void> {
    return this.call(owner, () => {
      if (this.tasks.get(task)?.status.state !== "running")
        this.tasks.delete(task);
    });
  }

  usage(): Promise<readonly UsageSample[]> {
    return Promise.resolve([]);
  }

  private async call<T>(
    owner: Incarnation | undefined,
    effect: () => T,
  ): Promise<T> {
    await sleep(this.options.clock, CALL_MS);
    if (this.isUnreachable || this.isKilled)
      throw new WorkerOutcomeUnknownError("the host is unreachable");
    const isOwner =
      owner === undefined || owner === this.owner || this.options.ignoreOwner;
    if (!isOwner)
      throw new WorkerRefusedError("another side process has taken over");
    const result = effect();
    if (this.loseAnswers > 0) {
      this.loseAnswers -= 1;
      throw new WorkerOutcomeUnknownError("the answer was lost");
    }
    return result;
  }

  private state(): WorkerState {
    const tasks = [...this.tasks.values()].map(({ status }) => status);
    return {
      capacity: this.options.capacity,
      longestLeaseMs: LONGEST_LEASE_MS,
      tasks,
    };
  }

  private run(order: StartOrder): WorkerTask {
    const { clock, history, host } = this.options;
    const { task, resources, fencingToken, notes, checkpoint } = order;
    const progressMs = Number(checkpoint ?? 0);
    const runMs = Number(order.program.args["runMs"] ?? 1_000);
    const status: WorkerTask = {
      task,
      state: "running",
      resources,
      fencingToken,
      notes,
    };
    const unit = notes["unit"] ?? "";
    history.record({
      type: "taskStarted",
      host,
      unit,
      task,
      resources,
      checkpoint,
    });
    this.tasks.set(task, {
      status,
      progressMs,
      startedAt: clock.monotonic(),
      endTimer: clock.after(Math.max(1, runMs - progressMs), () =>
        this.end(task, "succeeded"),
      ),
      leaseTimer: this.startLeaseTimer(task, order.leaseMs),
    });
    return status;
  }

  private startLeaseTimer(task: TaskId, leaseMs: number): Timer {
    const ms = Math.min(leaseMs, LONGEST_LEASE_MS);
    return this.options.clock.after(ms, () => this.end(task, "lapsed"));
  }

  private end(task: TaskId, state: WorkerTask["state"]): void {
    const { clock, history, host } = this.options;
    const record = this.tasks.get(task);
    if (record?.status.state !== "running") return;
    record.endTimer.cancel();
    record.leaseTimer.cancel();
    const progress = Math.round(
      record.progressMs + clock.monotonic() - record.startedAt,
    );
    const checkpoint = state === "checkpointed" ? String(progress) : undefined;
    record.status = { ...record.status, state, checkpoint };
    const unit = record.status.notes["unit"] ?? "";
    const end = this.isUnreachable ? "unseen" : state;
    history.record({ type: "taskEnded", host, unit, task, end, checkpoint });
  }
}
