/**
 * Wraps a TaskHost and calls each incarnation of the worker under its own sub-epoch of the
 * leader's epoch. A worker rejects calls whose epoch is lower than the highest it has
 * received, so the first call to an incarnation fences everything that was sent under lower
 * sub-epochs, to a previous incarnation or by a previous process of this side.
 */

import type {
  Clock,
  Epoch,
  WorkerInstance,
  WorkerTime,
} from "@rackspan/common";
import {
  runKeyOf,
  TaskRefusedError,
  WorkerSilentError,
  type PollResponse,
  type PollRequest,
  type PaceOrder,
  type RunRef,
  type RunStart,
  type StartOutcome,
  type TaskHost,
} from "@rackspan/ports";
import { BoundedMap } from "@rackspan/state";

const PARTS = {
  /** Sub-epochs per epoch. Sub-epochs derived from the clock wrap around after 13 years. */
  ofEpoch: 2 ** 32,
  /** Wall-clock time per sub-epoch, milliseconds. */
  unitMs: 100,
  /** Incarnations whose sub-epochs are kept; the oldest are dropped. */
  maxLives: 64,
  /** Starts whose epochs are kept; the oldest are dropped. */
  maxStarts: 1_024,
} as const;

/** Lower than the first sub-epoch. */
const NO_PART = -1;

/** Fencing state of one incarnation. */
interface LifePart {
  part: number;
  /** Increment for the next retry when the worker has received a higher sub-epoch. */
  reach: number;
  /** The highest epoch under which it has answered a poll; undefined before the first answer. */
  obeyed: Epoch | undefined;
}

export interface FencedTaskHostOptions {
  readonly host: TaskHost;
  readonly clock: Clock;
}

export class FencedTaskHost implements TaskHost {
  private readonly lives = new BoundedMap<WorkerInstance, LifePart>(
    PARTS.maxLives,
  );
  /** The epoch under which each start was last sent, by run. */
  private readonly sentUnder = new BoundedMap<string, Epoch>(PARTS.maxStarts);
  private highest = NO_PART;
  private epoch: Epoch | undefined;

  constructor(private readonly options: FencedTaskHostOptions) {}

  start(instance: WorkerInstance, order: RunStart): Promise<StartOutcome> {
    const epoch = this.presentOf(instance, order.epoch);
    this.sentUnder.set(runKeyOf(order), epoch);
    return this.options.host.start(instance, { ...order, epoch });
  }

  stop(
    instance: WorkerInstance,
    run: RunRef,
    epoch: Epoch,
  ): Promise<WorkerTime> {
    const { host } = this.options;
    return host.stop(instance, run, this.presentOf(instance, epoch));
  }

  pace(instance: WorkerInstance, order: PaceOrder): Promise<void> {
    const epoch = this.presentOf(instance, order.epoch);
    return this.options.host.pace(instance, { ...order, epoch });
  }

  /**
   * The worker may have received a higher sub-epoch of the same epoch: from a process whose
   * clock was ahead, or in a poll that was meant for another incarnation under its id. Only
   * polls are retried with a higher sub-epoch, and no sub-epoch exceeds the next epoch.
   */
  async poll(
    instance: WorkerInstance,
    order: PollRequest,
  ): Promise<PollResponse> {
    const life = this.lifeOf(instance, order.epoch);
    try {
      return await this.look(instance, order, life.part);
    } catch (err) {
      if (!isFenced(err)) throw err;
      const [byClock, byReach] = [this.partOfNow(), life.part + life.reach];
      for (const part of [Math.max(life.part + 1, byClock), byReach]) {
        const answer = await this.tryPart(instance, order, part);
        if (answer) return answer;
      }
      life.reach = Math.min(2 * life.reach, PARTS.ofEpoch);
      throw err;
    }
  }

  /** Whether that incarnation has accepted a higher epoch than the start was last sent under. */
  rejectsStart(instance: WorkerInstance, run: RunRef): boolean {
    const sentUnder = this.sentUnder.get(runKeyOf(run));
    const obeyed = this.lives.get(instance)?.obeyed;
    if (sentUnder === undefined || obeyed === undefined) return false;
    return sentUnder < obeyed;
  }

  private async look(
    instance: WorkerInstance,
    order: PollRequest,
    part: number,
  ): Promise<PollResponse> {
    const epoch = divide(order.epoch, part);
    try {
      const answer = await this.options.host.poll(instance, {
        ...order,
        epoch,
      });
      const life = this.lives.get(instance);
      if (life && epoch > (life.obeyed ?? 0)) life.obeyed = epoch;
      return answer;
    } catch (err) {
      if (err instanceof WorkerSilentError) this.raise(instance);
      throw err;
    }
  }

  /** @returns undefined when the worker has received a higher sub-epoch */
  private async tryPart(
    instance: WorkerInstance,
    order: PollRequest,
    part: number,
  ): Promise<PollResponse | undefined> {
    try {
      const answer = await this.look(instance, order, part);
      const life = this.lifeOf(instance, order.epoch);
      life.part = Math.max(life.part, part);
      life.reach = 1;
      this.highest = Math.max(this.highest, part);
      return answer;
    } catch (err) {
      if (!isFenced(err)) throw err;
      return undefined;
    }
  }

  /** The epoch and sub-epoch under which that incarnation is called now. */
  private presentOf(instance: WorkerInstance, epoch: Epoch): Epoch {
    return divide(epoch, this.lifeOf(instance, epoch).part);
  }

  /**
   * The incarnation may have ended. The next one may have the same id and receive calls that
   * are meant for this one, before its first heartbeat arrives. With a new sub-epoch, the
   * first of these calls fences everything that was sent until now.
   */
  private raise(instance: WorkerInstance): void {
    const life = this.lives.get(instance);
    if (life) life.part = this.nextPart();
  }

  /** A new incarnation gets a sub-epoch above all that were used under this epoch. */
  private lifeOf(instance: WorkerInstance, epoch: Epoch): LifePart {
    if (this.epoch === undefined || epoch > this.epoch) this.beginEpoch(epoch);
    const known = this.lives.get(instance);
    if (known) return known;
    const life = { part: this.nextPart(), reach: 1, obeyed: undefined };
    this.lives.set(instance, life);
    return life;
  }

  private nextPart(): number {
    this.highest = Math.max(this.highest + 1, this.partOfNow());
    return this.highest;
  }

  /** Everything sent under a previous epoch is lower than each sub-epoch of this one. */
  private beginEpoch(epoch: Epoch): void {
    this.epoch = epoch;
    this.highest = NO_PART;
    for (const [instance] of this.lives) this.lives.delete(instance);
  }

  /** Follows the clock, so that a restarted process without state exceeds the previous one. */
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
