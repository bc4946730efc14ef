/** Starts and ends the runs of a modelled worker, and records both in the history. */

import type { Clock, HostId, JobTaskId } from "@rackspan/common";
import {
  runKeyOf,
  type RunOutcome,
  type RunRef,
  type RunStart,
  type StartOutcome,
} from "@rackspan/ports";
import type { GangRunTracker } from "./GangRunTracker.js";
import type { RunHistory, ObservedRun } from "./RunHistory.js";
import type { TaskTraits } from "./TaskTraits.js";
import type { RunningTask, WorkerIncarnation } from "./WorkerIncarnation.js";
import type { WorkerCapacity } from "./WorkerCapacity.js";

export interface TaskRunnerOptions {
  readonly host: HostId;
  readonly clock: Clock;
  readonly history: RunHistory;
  readonly gangs: GangRunTracker;
  readonly capacity: WorkerCapacity;
  readonly traitsOf: (task: JobTaskId) => TaskTraits;
  /** Whether the worker is up with that incarnation. */
  readonly isUp: (incarnation: WorkerIncarnation) => boolean;
  /** Called when a task that crashes its worker has started at that incarnation. */
  readonly onCrashingTask: (incarnation: WorkerIncarnation) => void;
}

export class TaskRunner {
  constructor(private readonly options: TaskRunnerOptions) {}

  begin(incarnation: WorkerIncarnation, order: RunStart): StartOutcome {
    if (order.epoch < incarnation.epoch)
      return { kind: "refused", reason: "fenced" };
    incarnation.epoch = order.epoch;
    if (incarnation.running.has(runKeyOf(order))) {
      incarnation.extendLease(order.leaseUntil);
      return { kind: "started", at: incarnation.at };
    }
    if (incarnation.isFenced(order)) {
      incarnation.extendLease(order.leaseUntil);
      return { kind: "refused", reason: "old-run" };
    }
    if (order.leaseUntil <= incarnation.at)
      return { kind: "refused", reason: "late" };
    incarnation.extendLease(order.leaseUntil);
    this.checkCheckpoint(order);
    this.run(incarnation, order);
    return { kind: "started", at: incarnation.at };
  }

  endLater(
    incarnation: WorkerIncarnation,
    running: RunningTask,
    ms: number,
    outcome: RunOutcome,
  ): void {
    this.options.clock.after(ms, () => {
      if (this.options.isUp(incarnation))
        this.end(incarnation, running, outcome);
    });
  }

  endAll(incarnation: WorkerIncarnation, outcome: RunOutcome): void {
    if (!this.options.isUp(incarnation)) return;
    for (const running of [...incarnation.running.values()]) {
      this.end(incarnation, running, outcome);
    }
  }

  /** Ends all runs of a crashed incarnation; none of these ends is listed. */
  dropAll(incarnation: WorkerIncarnation): void {
    const { clock, gangs } = this.options;
    const lost = [...incarnation.running.values()];
    incarnation.running.clear();
    for (const { seen, ref, gangKey } of lost) {
      seen.endedAt = clock.monotonic();
      if (gangKey !== undefined) gangs.memberEnded(gangKey, ref.task);
    }
  }

  private run(incarnation: WorkerIncarnation, { task, run }: RunRef): void {
    const { clock, history, host, traitsOf } = this.options;
    const traits = traitsOf(task);
    const seen: ObservedRun = {
      task,
      run,
      host,
      beganAt: clock.monotonic(),
      endedAt: undefined,
      outcome: undefined,
      endAcknowledged: false,
    };
    const gangKey = traits.gang && `${stepOf(task)}#${run}`;
    const running = { ref: { task, run }, seen, traits, gangKey };
    incarnation.running.set(runKeyOf(running.ref), running);
    history.begin(seen);
    this.checkCapacity(incarnation, seen);
    if (traits.crashes) this.options.onCrashingTask(incarnation);
    if (traits.gang && gangKey !== undefined) {
      const { gangs, isUp } = this.options;
      gangs.join({ key: gangKey, ...traits.gang }, task, (outcome) => {
        if (isUp(incarnation)) this.end(incarnation, running, outcome);
      });
      return;
    }
    if (traits.runMs === undefined) return;
    const outcome = traits.fails ? "failed" : "done";
    this.endLater(incarnation, running, traits.runMs, outcome);
  }

  private checkCapacity(
    { running }: WorkerIncarnation,
    { beganAt }: ObservedRun,
  ): void {
    const { history, host, capacity } = this.options;
    const taken = [...running.values()].reduce(
      (sum, other) => sum + other.traits.milliCores,
      0,
    );
    if (taken <= capacity.allowed) return;
    history.add("over-room", beganAt, `${host} runs ${taken}`);
  }

  /** Checks that the checkpoint was saved by a run of the task or of its gang. */
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

  private end(
    incarnation: WorkerIncarnation,
    running: RunningTask,
    outcome: RunOutcome,
  ): void {
    const { ref, seen, gangKey } = running;
    if (!incarnation.running.delete(runKeyOf(ref))) return;
    seen.endedAt = this.options.clock.monotonic();
    seen.outcome = outcome;
    incarnation.listEnd(running, outcome);
    if (gangKey !== undefined)
      this.options.gangs.memberEnded(gangKey, ref.task);
    incarnation.wakePolls();
  }
}

/** The id of a task without its index. */
const stepOf = (task: string): string => task.replace(/\.\d+$/, "");
