/**
 * Port to the worker of one host, as used by the job engine: tasks run there under
 * one lease, which ends at a time of the worker's own clock.
 */

import {
  RackspanError,
  type Epoch,
  type JobTaskId,
  type RunNumber,
  type WorkerInstance,
  type WorkerTime,
} from "@rackspan/common";

/** How a run ended: `lapsed` because its lease expired, `broken` and `alone` for gangs. */
export type RunOutcome =
  "done" | "failed" | "stopped" | "lapsed" | "broken" | "alone";

export interface RunRef {
  readonly task: JobTaskId;
  readonly run: RunNumber;
}

/** Unique key of a run, for maps. */
export const runKeyOf = ({ task, run }: RunRef): string => `${task}#${run}`;

export interface RunningTask extends RunRef {
  /** Empty when there is none. */
  readonly checkpoint: string;
  /** 0 to 100. */
  readonly progressPercent: number;
  /**
   * Over the last half second: the tail latency in milliseconds for a serving task,
   * thousandths of a core in use for any other.
   */
  readonly reading: number;
}

export interface EndedRun extends RunRef {
  /** Increases from 1 within one incarnation of the worker. */
  readonly number: number;
  readonly outcome: RunOutcome;
  readonly checkpoint: string;
}

export interface RunStart extends RunRef {
  readonly spec: string;
  /** A run that has not started by then never starts. */
  readonly leaseUntil: WorkerTime;
  readonly epoch: Epoch;
  readonly checkpoint: string;
  /** Ticket of a permit, where the queue requires one. */
  readonly ticket?: string;
}

/** Why a worker did not start a task. */
export type StartRefusal =
  "fenced" | "old-run" | "late" | "no-room" | "bad-ticket" | "unhealthy";

export type StartOutcome =
  | { readonly kind: "started"; readonly at: WorkerTime }
  | { readonly kind: "refused"; readonly reason: StartRefusal };

export interface PollRequest {
  readonly epoch: Epoch;
  /** Ends up to this number may be forgotten by the worker. */
  readonly acknowledged: number;
  /** Extends the lease of all running tasks; never shortens it. */
  readonly leaseUntil?: WorkerTime;
  /** Milliseconds to wait for an end. */
  readonly waitMs: number;
}

export interface PollResponse {
  readonly at: WorkerTime;
  readonly running: readonly RunningTask[];
  /** In the worker's order, from the first end that has not been acknowledged. */
  readonly ended: readonly EndedRun[];
  /** Whether more runs may have ended: workers list only a limited number at once. */
  readonly hasMoreEnds: boolean;
}

export interface PaceOrder extends RunRef {
  /** Pace at which the task may work, percent from 0 to 100. */
  readonly percent: number;
  readonly epoch: Epoch;
}

/** All calls: @throws WorkerReplacedError, WorkerSilentError or TaskRefusedError. */
export interface TaskHost {
  start(instance: WorkerInstance, order: RunStart): Promise<StartOutcome>;
  /** Stops the run and fences it permanently, even if it has not started. */
  stop(
    instance: WorkerInstance,
    run: RunRef,
    epoch: Epoch,
  ): Promise<WorkerTime>;
  poll(instance: WorkerInstance, order: PollRequest): Promise<PollResponse>;
  pace(instance: WorkerInstance, order: PaceOrder): Promise<void>;
  /**
   * Whether that incarnation is guaranteed to reject the start,
   * whenever it arrives, and takes no lease from it. Absent where the
   * client cannot determine this.
   */
  rejectsStart?(instance: WorkerInstance, run: RunRef): boolean;
}

/**
 * Another incarnation of the worker answers at its address: the previous one has ended.
 */
export class WorkerReplacedError extends RackspanError {
  readonly kind = "worker-replaced";
  constructor(instance: WorkerInstance) {
    super({
      what: `worker ${instance} has ended, another incarnation answers at its address`,
      remedy: "wait until the new incarnation registers",
    });
  }
}

/** No answer: the call may have been carried out, or may still be. */
export class WorkerSilentError extends RackspanError {
  readonly kind = "worker-silent";
  /**
   * @param mayHaveArrived false when no connection was made: the worker has
   *   done nothing and never will
   */
  constructor(
    what: string,
    cause?: unknown,
    readonly mayHaveArrived = true,
  ) {
    super({ what, remedy: "repeat the call; it is idempotent", cause });
  }
}

/** The worker answered and did nothing. */
export class TaskRefusedError extends RackspanError {
  readonly kind = "task-call-refused";
  constructor(
    what: string,
    readonly fenced: boolean,
  ) {
    super({ what, remedy: "see the reason that the worker gave" });
  }
}
