/**
 * A time-out for the silence of a peer: it ends once nothing was received or sent for a
 * time, however long the whole exchange takes. What matters to a caller is whether a large
 * message still gets on, not its size over the rate of the link.
 */

import type { Clock, Monotonic, Timer } from "@rackspan/common";
import { startTimeout } from "./startTimeout.js";

export class ProgressTimeout {
  private progressAt: Monotonic;
  private timer: Timer;

  constructor(
    private readonly clock: Clock,
    private timeoutMs: number,
    private readonly onTimeout: () => void,
  ) {
    this.progressAt = clock.monotonic();
    this.timer = this.start(timeoutMs);
  }

  /** @param timeoutMs from now on the time without progress after which it ends */
  recordProgress(timeoutMs = this.timeoutMs): void {
    this.progressAt = this.clock.monotonic();
    if (timeoutMs === this.timeoutMs) return;
    this.timeoutMs = timeoutMs;
    this.timer.cancel();
    this.timer = this.start(timeoutMs);
  }

  cancel(): void {
    this.timer.cancel();
  }

  private start(ms: number): Timer {
    return startTimeout(this.clock, ms, () => {
      const leftMs = this.progressAt + this.timeoutMs - this.clock.monotonic();
      if (leftMs <= 0) this.onTimeout();
      else this.timer = this.start(leftMs);
    });
  }
}
