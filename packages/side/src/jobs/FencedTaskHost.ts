/**
 * Calls each life of the worker under a part of the leader's epoch of its own. A worker
 * obeys nothing below what it has heard: its first call from here bars all that was sent
 * under the parts before, to a former life or by a former process.
 */

import type {
  Clock,
  Epoch,
  WorkerInstance,
  WorkerTime,
} from "@rackspan/common";
import {
  TaskRefusedError,
  WorkerSilentError,
  type HoldAnswer,
  type HoldOrder,
  type PaceOrder,
  type RunRef,
  type RunStart,
  type StartOutcome,
  type TaskHost,
} from "@rackspan/ports";
import { BoundedMap } from "@rackspan/state";

const PARTS = {
  /** Of one epoch; those by the clock begin anew after 310 days. */
  ofEpoch: 2 ** 28,
  /** What one part stands for on the wall clock, milliseconds. */
  unitMs: 100,
  /** Lives whose parts are kept; the oldest are forgotten. */
  maxLives: 64,
} as const;

/** Below the first one. */
const NO_PART = -1;

/** What a life is called under. */
interface LifePart {
  part: number;
  /** How far above it is tried next, should the worker have heard a higher one. */
  reach: number;
}

export interface FencedTaskHostOptions {
  readonly host: TaskHost;
  readonly clock: Clock;
}

export class FencedTaskHost implements TaskHost {
  private readonly lives = new BoundedMap<WorkerInstance, LifePart>(
    PARTS.maxLives,
  );
  private highest = NO_PART;
  private epoch: Epoch | undefined;

  constructor(private readonly options: FencedTaskHostOptions) {}

  /** Is not climbed for: the next look at the worker is, and a start may go elsewhere. */
  start(instance: WorkerInstance, order: RunStart): Promise<StartOutcome> {
    const { part } = this.lifeOf(instance, order.epoch);
    const epoch = divide(order.epoch, part);
    return this.options.host.start(instance, { ...order, epoch });
  }

  stop(
    instance: WorkerInstance,
    run: RunRef,
    epoch: Epoch,
  ): Promise<WorkerTime> {
    const { host } = this.options;
    return this.climb(instance, epoch, (part) =>
      host.stop(instance, run, divide(epoch, part)),
    );
  }

  hold(instance: WorkerInstance, order: HoldOrder): Promise<HoldAnswer> {
    const { host } = this.options;
    return this.climb(instance, order.epoch, async (part) => {
      const epoch = divide(order.epoch, part);
      try {
        return await host.hold(instance, { ...order, epoch });
      } catch (err) {
        if (err instanceof WorkerSilentError) this.raise(instance);
        throw err;
      }
    });
  }

  pace(instance: WorkerInstance, order: PaceOrder): Promise<void> {
    const { host } = this.options;
    return this.climb(instance, order.epoch, (part) =>
      host.pace(instance, { ...order, epoch: divide(order.epoch, part) }),
    );
  }

  /**
   * The worker may have heard a higher part of the same epoch: from a process whose clock
   * was ahead, or in a look that was meant for another life under its id. No part of this
   * epoch passes a higher epoch.
   */
  private async climb<T>(
    instance: WorkerInstance,
    epoch: Epoch,
    call: (part: number) => Promise<T>,
  ): Promise<T> {
    const life = this.lifeOf(instance, epoch);
    try {
      return await call(life.part);
    } catch (err) {
      if (!isFenced(err)) throw err;
      const [byClock, byReach] = [this.partOfNow(), life.part + life.reach];
      const nextParts = [Math.max(life.part + 1, byClock), byReach];
      for (const part of nextParts) {
        const isTaken = await this.tryPart(life, part, call);
        if (isTaken) return isTaken.answer;
      }
      life.reach = Math.min(2 * life.reach, PARTS.ofEpoch);
      throw err;
    }
  }

  /** @returns undefined when the worker has heard a higher one */
  private async tryPart<T>(
    life: LifePart,
    part: number,
    call: (part: number) => Promise<T>,
  ): Promise<{ readonly answer: T } | undefined> {
    try {
      const answer = await call(part);
      life.part = Math.max(life.part, part);
      life.reach = 1;
      this.highest = Math.max(this.highest, part);
      return { answer };
    } catch (err) {
      if (!isFenced(err)) throw err;
      return undefined;
    }
  }

  /**
   * The life may be over. The next one may stand under its id and be reached by calls for
   * this one, before it is heard: the first of them bars what was sent until now.
   */
  private raise(instance: WorkerInstance): void {
    const life = this.lives.get(instance);
    if (life) life.part = this.nextPart();
  }

  /** Above those of all lives that were called before under the epoch. */
  private lifeOf(instance: WorkerInstance, epoch: Epoch): LifePart {
    if (this.epoch === undefined || epoch > this.epoch) this.beginEpoch(epoch);
    const known = this.lives.get(instance);
    if (known) return known;
    const life = { part: this.nextPart(), reach: 1 };
    this.lives.set(instance, life);
    return life;
  }

  private nextPart(): number {
    this.highest = Math.max(this.highest + 1, this.partOfNow());
    return this.highest;
  }

  /** All that was sent under the epoch before is below each part of this one. */
  private beginEpoch(epoch: Epoch): void {
    this.epoch = epoch;
    this.highest = NO_PART;
    for (const [instance] of this.lives) this.lives.delete(instance);
  }

  /** A process that knows nothing of the one before is above it too. */
  private partOfNow(): number {
    const units = Math.floor(this.options.clock.now() / PARTS.unitMs);
    return units % PARTS.ofEpoch;
  }
}

const divide = (epoch: Epoch, part: number): Epoch => {
  const highest = PARTS.ofEpoch - 1;
  const divided = epoch * PARTS.ofEpoch + Math.min(part, highest);
  return divided as unknown as Epoch;
};

const isFenced = (err: unknown): boolean =>
  err instanceof TaskRefusedError && err.fenced;
