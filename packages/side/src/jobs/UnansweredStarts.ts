/**
 * Orders to start that have no answer, or none yet. A worker may carry one out seconds
 * later, and so may its next life where both stand under one id: the run would begin
 * there although the leader has taken it for lost with the life before.
 */

import type { Clock, Monotonic, WorkerInstance } from "@rackspan/common";
import { runKeyOf, type RunRef } from "@rackspan/ports";
import { BoundedMap } from "@rackspan/state";

const UNANSWERED = {
  /** An order is not carried out later than this, milliseconds: workers speak of seconds. */
  keptMs: 15_000,
  /** The oldest are forgotten. */
  maxKept: 1_024,
} as const;

interface UnansweredStart {
  readonly ref: RunRef;
  readonly instance: WorkerInstance;
  readonly triedAt: Monotonic;
  /** The other life that has last confirmed that the run never begins there. */
  barredAt: WorkerInstance | undefined;
}

export class UnansweredStarts {
  /** By run. */
  private readonly starts = new BoundedMap<string, UnansweredStart>(
    UNANSWERED.maxKept,
  );

  constructor(private readonly clock: Clock) {}

  /** That life is about to be told to start it. */
  recordSent(instance: WorkerInstance, { task, run }: RunRef): void {
    const triedAt = this.clock.monotonic();
    this.starts.set(runKeyOf({ task, run }), {
      ref: { task, run },
      instance,
      triedAt,
      barredAt: undefined,
    });
  }

  /** Every order to start it was answered. */
  recordAnswered(ref: RunRef): void {
    this.starts.delete(runKeyOf(ref));
  }

  /** The run never begins at that life. */
  recordFenced(instance: WorkerInstance, ref: RunRef): void {
    const start = this.starts.get(runKeyOf(ref));
    if (start) start.barredAt = instance;
  }

  /** Runs that were ordered of other lives, and that may yet begin at this one. */
  unfencedAt(instance: WorkerInstance): readonly RunRef[] {
    return this.ofOthers(instance)
      .filter(({ barredAt }) => barredAt !== instance)
      .map(({ ref }) => ref);
  }

  /**
   * For how long a start that was sent to another life may yet reach that one.
   * @param instance undefined for a life that was not heard yet
   * @param isBarred whether that life refuses the start, whenever it comes
   * @returns milliseconds; 0 when none may
   */
  mayArriveForMs(
    instance: WorkerInstance | undefined,
    isBarred: (run: RunRef) => boolean = () => false,
  ): number {
    const now = this.clock.monotonic();
    const leftMs = this.ofOthers(instance)
      .filter(({ ref }) => !isBarred(ref))
      .map(({ triedAt }) => triedAt + UNANSWERED.keptMs - now);
    return Math.max(0, ...leftMs);
  }

  private ofOthers(
    instance: WorkerInstance | undefined,
  ): readonly UnansweredStart[] {
    const oldest = this.clock.monotonic() - UNANSWERED.keptMs;
    for (const [key, { triedAt }] of this.starts) {
      if (triedAt < oldest) this.starts.delete(key);
    }
    return [...this.starts]
      .map(([, start]) => start)
      .filter((start) => start.instance !== instance);
  }
}
