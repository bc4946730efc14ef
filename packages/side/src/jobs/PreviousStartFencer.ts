/**
 * Bars at a worker's present life what a former one was told to start and has not
 * answered: each of these runs may begin there until it is barred.
 */

import {
  sleep,
  type Clock,
  type Epoch,
  type Logger,
  type WorkerInstance,
} from "@rackspan/common";
import type { RunRef, TaskHost } from "@rackspan/ports";
import type { UnansweredStarts } from "./UnansweredStarts.js";

const BARS = {
  /** Starts that are barred at once, so that one bar without an answer holds up few others. */
  atOnce: 4,
  /** Tries of one bar; all that are on their way need a connection each. */
  tries: 3,
  /** Until a bar without an answer is sent once more, milliseconds. */
  againMs: 50,
} as const;

export interface PreviousStartFencerOptions {
  readonly host: TaskHost;
  readonly unansweredStarts: UnansweredStarts;
  readonly clock: Clock;
  readonly logger: Logger;
}

export class PreviousStartFencer {
  constructor(private readonly options: PreviousStartFencerOptions) {}

  /** @returns the errors of bars that failed; none when the worker has barred them all */
  async fenceAll(
    instance: WorkerInstance,
    epoch: Epoch,
  ): Promise<readonly unknown[]> {
    const { unansweredStarts: unanswered, logger } = this.options;
    const open = unanswered.unfencedAt(instance);
    if (open.length === 0) return [];
    const left = [...open];
    const errors: unknown[] = [];
    const barInTurn = async (): Promise<void> => {
      for (let ref = left.shift(); ref; ref = left.shift()) {
        await this.bar(instance, ref, epoch);
      }
    };
    const lanes = Array.from({ length: BARS.atOnce }, () =>
      barInTurn().catch((err: unknown) => errors.push(err)),
    );
    await Promise.all(lanes);
    if (errors.length === 0) {
      const runs = open.length;
      logger.info("worker.former-starts-barred", { instance, runs });
    }
    return errors;
  }

  /**
   * Does not wait until a try is given up before the next one: the run may begin
   * meanwhile.
   */
  private async bar(
    instance: WorkerInstance,
    ref: RunRef,
    epoch: Epoch,
  ): Promise<void> {
    const { host, unansweredStarts: unanswered, clock } = this.options;
    let isBarred = false;
    const tryAfter = async (afterMs: number): Promise<void> => {
      if (afterMs > 0) await sleep(clock, afterMs);
      if (isBarred) return;
      await host.stop(instance, ref, epoch);
      isBarred = true;
    };
    const tries = Array.from({ length: BARS.tries }, (_, index) =>
      tryAfter(index * BARS.againMs),
    );
    await Promise.any(tries).catch(() => tries[0]);
    unanswered.recordFenced(instance, ref);
  }
}
