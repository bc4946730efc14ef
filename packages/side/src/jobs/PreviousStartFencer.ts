/**
 * Fences, at the worker's current incarnation, start orders that were sent to a previous one
 * and never answered: each of these runs may start at the current one until it is fenced.
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

const FENCING = {
  /** Starts that are fenced concurrently, so that a call without an answer delays few others. */
  concurrency: 4,
  /** Calls per start. Each call in flight needs its own connection. */
  tries: 3,
  /** Delay until a call without an answer is sent once more, milliseconds. */
  retryAfterMs: 50,
} as const;

export interface PreviousStartFencerOptions {
  readonly host: TaskHost;
  readonly unansweredStarts: UnansweredStarts;
  readonly clock: Clock;
  readonly logger: Logger;
}

export class PreviousStartFencer {
  constructor(private readonly options: PreviousStartFencerOptions) {}

  /** @returns the errors of failed calls; empty when the worker has fenced all starts */
  async fenceAll(
    instance: WorkerInstance,
    epoch: Epoch,
  ): Promise<readonly unknown[]> {
    const { unansweredStarts, logger } = this.options;
    const open = unansweredStarts.unfencedAt(instance);
    if (open.length === 0) return [];
    const remaining = [...open];
    const errors: unknown[] = [];
    const fenceNext = async (): Promise<void> => {
      for (let ref = remaining.shift(); ref; ref = remaining.shift()) {
        await this.fence(instance, ref, epoch);
      }
    };
    const runners = Array.from({ length: FENCING.concurrency }, () =>
      fenceNext().catch((err: unknown) => errors.push(err)),
    );
    await Promise.all(runners);
    if (errors.length === 0) {
      const runs = open.length;
      logger.info("worker.former-starts-barred", { instance, runs });
    }
    return errors;
  }

  /**
   * Sends the next call before the previous one has timed out, since the run may start
   * meanwhile.
   */
  private async fence(
    instance: WorkerInstance,
    ref: RunRef,
    epoch: Epoch,
  ): Promise<void> {
    const { host, unansweredStarts, clock } = this.options;
    let isFenced = false;
    const tryAfter = async (afterMs: number): Promise<void> => {
      if (afterMs > 0) await sleep(clock, afterMs);
      if (isFenced) return;
      await host.stop(instance, ref, epoch);
      isFenced = true;
    };
    const tries = Array.from({ length: FENCING.tries }, (_, index) =>
      tryAfter(index * FENCING.retryAfterMs),
    );
    await Promise.any(tries).catch(() => tries[0]);
    unansweredStarts.recordFenced(instance, ref);
  }
}
