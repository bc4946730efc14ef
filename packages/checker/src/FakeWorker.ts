/** A worker in memory: leases and the run of tasks on the passed-in clock. */

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

interface Held {
  status: WorkerTask;
  done: number;
  readonly startedAt: number;
  readonly end: Timer;
  lapse: Timer;
}

export interface FakeWorkerOptions {
  readonly host: string;
  readonly clock: Clock;
  readonly history: History;
  readonly capacity: Resources;
  /** Mutant: obeys a side process that has been replaced. */
  readonly ignoreOwner: boolean;
}

const CALL_MS = 2;
const LONGEST_LEASE_MS = 4_000;

export class FakeWorker implements Worker {
  loseAnswers = 0;
  /** How much longer the next order to start is on its way. */
  delayNextStartMs = 0;
  /** Calls do not arrive, and no process ever learns how its tasks end. */
  private cut = false;
  private owner: Incarnation | undefined;
  private gone = false;
  private readonly held = new Map<TaskId, Held>();
  private readonly stopped = new Set<TaskId>();

  constructor(private readonly options: FakeWorkerOptions) {
    const { host, capacity } = options;
    options.history.record({ type: "capacity", host, capacity });
  }

  /** The host is lost, with all that runs on it. */
  kill(): void {
    this.loseResults();
    for (const task of this.held.keys()) this.end(task, "lapsed");
    this.gone = true;
  }

  /** The platform has given the host up, though its tasks run until their leases end. */
  abandon(): void {
    this.loseResults();
    this.cut = true;
  }

  /** What had ended here with a result and is not forgotten yet may never be heard of. */
  private loseResults(): void {
    const { history } = this.options;
    for (const { status } of this.held.values()) {
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
      const known = this.held.get(order.task);
      if (known) return known.status;
      if (this.stopped.has(order.task))
        throw new WorkerRefusedError("it was stopped before");
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
        const held = this.held.get(task);
        if (held?.status.state !== "running") continue;
        held.lapse.cancel();
        held.lapse = this.lapseTimer(task, leaseMs);
      }
      return this.state();
    });
  }

  stop(owner: Incarnation, task: TaskId, checkpoint: boolean): Promise<void> {
    return this.call(owner, () => {
      this.stopped.add(task);
      if (this.held.get(task)?.status.state !== "running") return;
      this.end(task, checkpoint ? "checkpointed" : "stopped");
    });
  }

  throttle(): Promise<void> {
    return Promise.resolve();
  }

  forget(owner: Incarnation, task: TaskId): Promise<void> {
    return this.call(owner, () => {
      if (this.held.get(task)?.status.state !== "running")
        this.held.delete(task);
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
    if (this.cut || this.gone) throw new WorkerOutcomeUnknownError("cut");
    const isOwner =
      owner === undefined || owner === this.owner || this.options.ignoreOwner;
    if (!isOwner)
      throw new WorkerRefusedError("another side process has taken over");
    const result = effect();
    if (this.loseAnswers > 0) {
      this.loseAnswers -= 1;
      throw new WorkerOutcomeUnknownError("lost");
    }
    return result;
  }

  private state(): WorkerState {
    const tasks = [...this.held.values()].map(({ status }) => status);
    return {
      capacity: this.options.capacity,
      longestLeaseMs: LONGEST_LEASE_MS,
      tasks,
    };
  }

  private run(order: StartOrder): WorkerTask {
    const { clock, history, host } = this.options;
    const { task, resources, fencingToken, notes, checkpoint } = order;
    const done = Number(checkpoint ?? 0);
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
    this.held.set(task, {
      status,
      done,
      startedAt: clock.monotonic(),
      end: clock.after(Math.max(1, runMs - done), () =>
        this.end(task, "succeeded"),
      ),
      lapse: this.lapseTimer(task, order.leaseMs),
    });
    return status;
  }

  private lapseTimer(task: TaskId, leaseMs: number): Timer {
    const ms = Math.min(leaseMs, LONGEST_LEASE_MS);
    return this.options.clock.after(ms, () => this.end(task, "lapsed"));
  }

  private end(task: TaskId, state: WorkerTask["state"]): void {
    const { clock, history, host } = this.options;
    const held = this.held.get(task);
    if (held?.status.state !== "running") return;
    held.end.cancel();
    held.lapse.cancel();
    const progress = Math.round(held.done + clock.monotonic() - held.startedAt);
    const checkpoint = state === "checkpointed" ? String(progress) : undefined;
    held.status = { ...held.status, state, checkpoint };
    const unit = held.status.notes["unit"] ?? "";
    const end = this.cut ? "unseen" : state;
    history.record({ type: "taskEnded", host, unit, task, end, checkpoint });
  }
}
