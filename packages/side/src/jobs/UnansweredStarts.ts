/**
 * Tracks start orders that have no answer, or none yet. A worker may carry out such an order
 * seconds later, and so may its next incarnation if both have the same id: the run would
 * start there although the leader has recorded it as lost with the previous incarnation.
 */

import type { Clock, Monotonic, WorkerInstance } from "@rackspan/common";
import { runKeyOf, type RunRef } from "@rackspan/ports";
import { BoundedMap } from "@rackspan/state";

const LIMITS = {
  /** No order is carried out later than this, milliseconds; the worker's interface states "seconds". */
  maxDelayMs: 15_000,
  /** Limit of starts; the oldest are dropped. */
  maxStarts: 1_024,
} as const;

interface UnansweredStart {
  readonly ref: RunRef;
  readonly instance: WorkerInstance;
  readonly sentAt: Monotonic;
  /** The other incarnation that last confirmed that the run never starts there. */
  fencedBy: WorkerInstance | undefined;
}

export class UnansweredStarts {
  /** By run. */
  private readonly starts = new BoundedMap<string, UnansweredStart>(
    LIMITS.maxStarts,
  );

  constructor(private readonly clock: Clock) {}

  /** Records that a start order is about to be sent to that incarnation. */
  recordSent(instance: WorkerInstance, { task, run }: RunRef): void {
    const sentAt = this.clock.monotonic();
    this.starts.set(runKeyOf({ task, run }), {
      ref: { task, run },
      instance,
      sentAt,
      fencedBy: undefined,
    });
  }

  /** Records that every start order for the run was answered. */
  recordAnswered(ref: RunRef): void {
    this.starts.delete(runKeyOf(ref));
  }

  /** Records that the run never starts at that incarnation. */
  recordFenced(instance: WorkerInstance, ref: RunRef): void {
    const start = this.starts.get(runKeyOf(ref));
    if (start) start.fencedBy = instance;
  }

  /** Runs that were ordered from other incarnations and that may still start at this one. */
  unfencedAt(instance: WorkerInstance): readonly RunRef[] {
    return this.sentToOthers(instance)
      .filter(({ fencedBy }) => fencedBy !== instance)
      .map(({ ref }) => ref);
  }

  /**
   * How long a start that was sent to another incarnation may still arrive at this one.
   * @param instance undefined for an incarnation whose heartbeat has not arrived yet
   * @param isRejected whether that incarnation rejects the start, whenever it arrives
   * @returns milliseconds; 0 when no start can arrive any more
   */
  mayArriveForMs(
    instance: WorkerInstance | undefined,
    isRejected: (run: RunRef) => boolean = () => false,
  ): number {
    const now = this.clock.monotonic();
    const leftMs = this.sentToOthers(instance)
      .filter(({ ref }) => !isRejected(ref))
      .map(({ sentAt }) => sentAt + LIMITS.maxDelayMs - now);
    return Math.max(0, ...leftMs);
  }

  private sentToOthers(
    instance: WorkerInstance | undefined,
  ): readonly UnansweredStart[] {
    const oldest = this.clock.monotonic() - LIMITS.maxDelayMs;
    for (const [key, { sentAt }] of this.starts) {
      if (sentAt < oldest) this.starts.delete(key);
    }
    return [...this.starts]
      .map(([, start]) => start)
      .filter((start) => start.instance !== instance);
  }
}
