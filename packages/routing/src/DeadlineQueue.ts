/**
 * Bounded queue for the requests of one class. A request leaves the queue unprocessed
 * when its deadline passes.
 */

import PQueue from "p-queue";
import type { Clock } from "@rackspan/common";

export interface DeadlineQueueOptions {
  readonly clock: Clock;
  readonly concurrency: number;
  readonly maxQueued: number;
}

export type QueueResult = "entered" | "full" | "late";

export class DeadlineQueue {
  private readonly queue: PQueue;
  private running = 0;
  private expiredCount = 0;

  constructor(private readonly options: DeadlineQueueOptions) {
    this.queue = new PQueue({ concurrency: options.concurrency });
  }

  /**
   * Number of waiting requests. An expired one stays in the underlying queue until its
   * turn, but is not counted.
   */
  get queued(): number {
    return this.queue.size - this.expiredCount;
  }

  get inProgress(): number {
    return this.running;
  }

  /** Runs the work once a slot is free, and returns whether it ran or why it did not. */
  async run(
    timeoutMs: number,
    work: () => Promise<void>,
  ): Promise<QueueResult> {
    const { concurrency, maxQueued, clock } = this.options;
    if (this.running < concurrency && this.queue.size === 0) {
      await this.queue.add(() => this.runCounted(work));
      return "entered";
    }
    if (this.queued >= maxQueued) return "full";
    let state: "waiting" | "started" | "late" = "waiting";
    return new Promise((resolve, reject) => {
      const timer = clock.after(timeoutMs, () => {
        if (state !== "waiting") return;
        state = "late";
        this.expiredCount += 1;
        resolve("late");
      });
      const task = async (): Promise<void> => {
        if (state === "late") {
          this.expiredCount -= 1;
          return;
        }
        state = "started";
        timer.cancel();
        await this.runCounted(work);
        resolve("entered");
      };
      this.queue.add(task).catch(reject);
    });
  }

  private async runCounted(work: () => Promise<void>): Promise<void> {
    this.running += 1;
    try {
      await work();
    } finally {
      this.running -= 1;
    }
  }
}
