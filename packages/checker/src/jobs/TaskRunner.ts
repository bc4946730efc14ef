/** Begins and ends the runs of a modelled worker, and tells the history of both. */

import type { Clock, HostId, JobTaskId } from "@rackspan/common";
import {
  runKeyOf,
  type RunOutcome,
  type RunRef,
  type RunStart,
  type StartOutcome,
} from "@rackspan/ports";
import type { GangBook } from "./GangBook.js";
import type { RunHistory, RunSeen } from "./RunHistory.js";
import type { TaskTraits } from "./TaskTraits.js";
import type { Running, WorkerLife } from "./WorkerLife.js";
import type { WorkerRoom } from "./WorkerRoom.js";

export interface TaskRunnerOptions {
  readonly host: HostId;
  readonly clock: Clock;
  readonly history: RunHistory;
  readonly gangs: GangBook;
  readonly room: WorkerRoom;
  readonly traitsOf: (task: JobTaskId) => TaskTraits;
  /** Whether the worker is up in that life. */
  readonly isPresent: (life: WorkerLife) => boolean;
  /** A task that crashes its worker has begun in that life. */
  readonly onCrashing: (life: WorkerLife) => void;
}

export class TaskRunner {
  constructor(private readonly options: TaskRunnerOptions) {}

  begin(life: WorkerLife, order: RunStart): StartOutcome {
    if (order.epoch < life.epoch) return { kind: "refused", reason: "fenced" };
    life.epoch = order.epoch;
    if (life.running.has(runKeyOf(order))) {
      life.extendLease(order.leaseUntil);
      return { kind: "started", at: life.at };
    }
    if (life.isBarred(order)) {
      life.extendLease(order.leaseUntil);
      return { kind: "refused", reason: "old-run" };
    }
    if (order.leaseUntil <= life.at) return { kind: "refused", reason: "late" };
    life.extendLease(order.leaseUntil);
    this.checkCheckpoint(order);
    this.run(life, order);
    return { kind: "started", at: life.at };
  }

  endLater(
    life: WorkerLife,
    running: Running,
    ms: number,
    outcome: RunOutcome,
  ): void {
    this.options.clock.after(ms, () => {
      if (this.options.isPresent(life)) this.end(life, running, outcome);
    });
  }

  endAll(life: WorkerLife, outcome: RunOutcome): void {
    if (!this.options.isPresent(life)) return;
    for (const running of [...life.running.values()]) {
      this.end(life, running, outcome);
    }
  }

  /** All runs are gone with that life; nothing is listed. */
  loseAll(life: WorkerLife): void {
    const { clock, gangs } = this.options;
    const lost = [...life.running.values()];
    life.running.clear();
    for (const { seen, ref, gangKey } of lost) {
      seen.endedAt = clock.monotonic();
      if (gangKey !== undefined) gangs.left(gangKey, ref.task);
    }
  }

  private run(life: WorkerLife, { task, run }: RunRef): void {
    const { clock, history, host, traitsOf } = this.options;
    const traits = traitsOf(task);
    const seen: RunSeen = {
      task,
      run,
      host,
      beganAt: clock.monotonic(),
      endedAt: undefined,
      outcome: undefined,
      noted: false,
    };
    const gangKey = traits.gang && `${stepOf(task)}#${run}`;
    const running = { ref: { task, run }, seen, traits, gangKey };
    life.running.set(runKeyOf(running.ref), running);
    history.begin(seen);
    this.checkRoom(life, seen);
    if (traits.crashes) this.options.onCrashing(life);
    if (traits.gang && gangKey !== undefined) {
      const { gangs, isPresent } = this.options;
      gangs.join({ key: gangKey, ...traits.gang }, task, (how) => {
        if (isPresent(life)) this.end(life, running, how);
      });
      return;
    }
    if (traits.runMs === undefined) return;
    const outcome = traits.fails ? "failed" : "done";
    this.endLater(life, running, traits.runMs, outcome);
  }

  private checkRoom({ running }: WorkerLife, { beganAt }: RunSeen): void {
    const { history, host, room } = this.options;
    const taken = [...running.values()].reduce(
      (sum, other) => sum + other.traits.milliCores,
      0,
    );
    if (taken <= room.allowed) return;
    history.add("over-room", beganAt, `${host} runs ${taken}`);
  }

  /** A checkpoint is one that a run of the task, or of its gang, has saved. */
  private checkCheckpoint({ task, run, checkpoint }: RunStart): void {
    if (checkpoint === "") return;
    const { clock, history, traitsOf } = this.options;
    const [savedBy = ""] = checkpoint.split("@");
    const isOwn = traitsOf(task).gang
      ? stepOf(savedBy) === stepOf(task)
      : savedBy === (task as string);
    const detail = `${task}#${run} brings ${checkpoint}`;
    if (!isOwn) history.add("unasked", clock.monotonic(), detail);
  }

  private end(life: WorkerLife, running: Running, outcome: RunOutcome): void {
    const { ref, seen, gangKey } = running;
    if (!life.running.delete(runKeyOf(ref))) return;
    seen.endedAt = this.options.clock.monotonic();
    seen.outcome = outcome;
    life.listEnd(running, outcome);
    if (gangKey !== undefined) this.options.gangs.left(gangKey, ref.task);
    life.wake();
  }
}

/** A task's id without its index. */
const stepOf = (task: string): string => task.replace(/\.\d+$/, "");
