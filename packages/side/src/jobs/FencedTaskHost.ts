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
  /** Of one epoch; those by the clock begin anew after 13 years. */
  ofEpoch: 2 ** 32,
  /** What one part stands for on the wall clock, milliseconds. */
  unitMs: 100,
  /** Lives whose parts are kept; the oldest are forgotten. */
  maxLives: 64,
  /** Starts of which it is kept what they were sent under; the oldest are forgotten. */
  maxStarts: 1_024,
} as const;

/** Below the first one. */
const NO_PART = -1;

/** What a life is called under. */
interface LifePart {
  part: number;
  /** How far above it is tried next, should the worker have heard a higher one. */
  reach: number;
  /** The highest that it has answered a look under; undefined before. */
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
  /** What each start was last sent under, by run. */
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
   * The worker may have heard a higher part of the same epoch: from a process whose clock
   * was ahead, or in a look that was meant for another life under its id. Looks alone are
   * tried again above it, and no part of this epoch passes a higher epoch.
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

  /** Whether that life has obeyed more than the start was last sent under. */
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

  /** @returns undefined when the worker has heard a higher one */
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

  /** What that life is called under now. */
  private presentOf(instance: WorkerInstance, epoch: Epoch): Epoch {
    return divide(epoch, this.lifeOf(instance, epoch).part);
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
    const life = { part: this.nextPart(), reach: 1, obeyed: undefined };
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
