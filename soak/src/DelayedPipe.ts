/** One direction of a proxied connection: forwards chunks in order, some with a delay. */

import type { Socket } from "node:net";

export interface DelayedPipeOptions {
  /** Returns the delay of the next chunk in milliseconds; 0 forwards it at once. */
  readonly drawHoldMs: () => number;
  readonly send: (chunk: Buffer) => void;
  /** Called once the source has closed and every received chunk has been forwarded. */
  readonly onDrained: () => void;
}

export class DelayedPipe {
  /** Whether received chunks are dropped, as on a partitioned network. */
  isDiscarding = false;
  private heldChunks = 0;
  private lastDueAt = 0;
  private isEnded = false;

  constructor(
    source: Socket,
    private readonly options: DelayedPipeOptions,
  ) {
    source.on("data", (chunk: Buffer) => this.receive(chunk));
    source.on("close", () => this.end());
  }

  private receive(chunk: Buffer): void {
    if (this.isDiscarding) return;
    const now = performance.now();
    const dueAt = Math.max(this.lastDueAt, now + this.options.drawHoldMs());
    this.lastDueAt = dueAt;
    if (dueAt <= now && this.heldChunks === 0) {
      this.options.send(chunk);
      return;
    }
    this.heldChunks += 1;
    setTimeout(() => this.release(chunk), dueAt - now);
  }

  private release(chunk: Buffer): void {
    this.heldChunks -= 1;
    this.options.send(chunk);
    this.notifyIfDrained();
  }

  private end(): void {
    this.isEnded = true;
    this.notifyIfDrained();
  }

  private notifyIfDrained(): void {
    if (this.isEnded && this.heldChunks === 0) this.options.onDrained();
  }
}
