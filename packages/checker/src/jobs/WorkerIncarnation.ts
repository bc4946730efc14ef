/** One incarnation of a modelled worker: clock, runs, listed ends and lease; a crash ends it. */

import type {
  Clock,
  JobTaskId,
  Monotonic,
  Random,
  RunNumber,
  Timer,
  WorkerInstance,
  WorkerTime,
} from "@rackspan/common";
import type { EndedRun, RunOutcome, RunRef } from "@rackspan/ports";
import type { ObservedRun } from "./RunHistory.js";
import type { TaskTraits } from "./TaskTraits.js";

const INCARNATION_LIMITS = {
  /** Upper bound of the random start value of the worker's clock, milliseconds. */
  maxClockStart: 1e6,
  /** Maximum share by which the worker's clock runs slow. */
  maxDrift: 0.02,
  longestLeaseMs: 6_000,
} as const;

export interface RunningTask {
  readonly ref: RunRef;
  readonly seen: ObservedRun;
  readonly traits: TaskTraits;
  readonly gangKey: string | undefined;
}

export interface WorkerIncarnationOptions {
  readonly instance: WorkerInstance;
  readonly clock: Clock;
  readonly random: Random;
  /** Called when the lease has expired; the remaining runs must end. */
  readonly onLeaseExpired: () => void;
}

export class WorkerIncarnation {
  readonly running = new Map<string, RunningTask>();
  /** Highest epoch received. */
  epoch = 0;
  private readonly bootedAt: Monotonic;
  private readonly clockStart: number;
  private readonly clockRate: number;
  private readonly fencedRuns = new Map<JobTaskId, RunNumber>();
  private ended: { readonly end: EndedRun; readonly seen: ObservedRun }[] = [];
  private endCount = 0;
  /** Runs whose ends were not acknowledged before the lease expired. */
  private readonly expiredEnds = new WeakSet<ObservedRun>();
  private leaseUntil = 0;
  private leaseTimer: Timer | undefined;
  private readonly pollWaiters = new Set<() => void>();

  constructor(private readonly options: WorkerIncarnationOptions) {
    const { clock, random } = options;
    this.bootedAt = clock.monotonic();
    this.clockStart = Math.floor(
      random.next() * INCARNATION_LIMITS.maxClockStart,
    );
    this.clockRate = 1 - random.next() * INCARNATION_LIMITS.maxDrift;
  }

  get instance(): WorkerInstance {
    return this.options.instance;
  }

  /** Current time of the worker's clock. */
  get at(): WorkerTime {
    const age = this.options.clock.monotonic() - this.bootedAt;
    const at = Math.floor(this.clockStart + age * this.clockRate);
    return at as unknown as WorkerTime;
  }

  get listedEnds(): readonly EndedRun[] {
    return this.ended.map(({ end }) => end);
  }

  /** Rejects every later start of the task up to and including this run. */
  fence({ task, run }: RunRef): void {
    const highest = Math.max(run, this.fencedRuns.get(task) ?? 0);
    this.fencedRuns.set(task, highest as unknown as RunNumber);
  }

  isFenced({ task, run }: RunRef): boolean {
    return run <= (this.fencedRuns.get(task) ?? 0);
  }

  listEnd({ ref, seen }: RunningTask, outcome: RunOutcome): void {
    this.fence(ref);
    this.endCount += 1;
    const number = this.endCount;
    this.ended.push({ end: { ...ref, number, outcome, checkpoint: "" }, seen });
  }

  dropAcknowledgedEnds(acknowledged: number): void {
    for (const { end, seen } of this.ended) {
      if (end.number <= acknowledged && !this.expiredEnds.has(seen))
        seen.endAcknowledged = true;
    }
    this.ended = this.ended.filter(({ end }) => end.number > acknowledged);
  }

  extendLease(until: WorkerTime): void {
    const now: number = this.at;
    if (this.leaseUntil <= now) this.markEndsExpired();
    const longest = now + INCARNATION_LIMITS.longestLeaseMs;
    this.leaseUntil = Math.max(this.leaseUntil, Math.min(until, longest));
    this.leaseTimer?.cancel();
    const leftMs = (this.leaseUntil - now) / this.clockRate;
    this.leaseTimer = this.options.clock.after(leftMs, () => {
      this.markEndsExpired();
      this.options.onLeaseExpired();
    });
  }

  /** Cancels the expiry of the lease after a crash of the worker. */
  cancelLeaseTimer(): void {
    this.leaseTimer?.cancel();
  }

  async waitForEnd(waitMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const wake = (): void => {
        timer.cancel();
        this.pollWaiters.delete(wake);
        resolve();
      };
      const timer = this.options.clock.after(waitMs, wake);
      this.pollWaiters.add(wake);
    });
  }

  wakePolls(): void {
    const waiting = [...this.pollWaiters];
    this.pollWaiters.clear();
    for (const resolve of waiting) resolve();
  }

  private markEndsExpired(): void {
    for (const { seen } of this.ended) this.expiredEnds.add(seen);
  }
}
