/** One direction of a proxied connection: passes chunks on in order, some of them late. */

import type { Socket } from "node:net";

export interface DelayedPipeOptions {
  /** Milliseconds for which the next chunk is held; 0 passes it on at once. */
  readonly drawHoldMs: () => number;
  readonly send: (chunk: Buffer) => void;
  /** All that came has been passed on, and nothing more will come. */
  readonly onDrained: () => void;
}

export class DelayedPipe {
  /** Chunks are dropped while this is set, as behind a cut. */
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
