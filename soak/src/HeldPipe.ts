/** One direction of a proxied connection: passes chunks on in order, some of them late. */

import type { Socket } from "node:net";

export interface HeldPipeOptions {
  /** Milliseconds for which the next chunk is held; 0 passes it on at once. */
  readonly drawHoldMs: () => number;
  readonly send: (chunk: Buffer) => void;
  /** All that came has been passed on, and nothing more will come. */
  readonly onDrained: () => void;
}

export class HeldPipe {
  /** Chunks are dropped while this is set, as behind a cut. */
  isCut = false;
  private held = 0;
  private lastDueAt = 0;
  private isEnded = false;

  constructor(
    source: Socket,
    private readonly options: HeldPipeOptions,
  ) {
    source.on("data", (chunk: Buffer) => this.take(chunk));
    source.on("close", () => this.end());
  }

  private take(chunk: Buffer): void {
    if (this.isCut) return;
    const now = performance.now();
    const dueAt = Math.max(this.lastDueAt, now + this.options.drawHoldMs());
    this.lastDueAt = dueAt;
    if (dueAt <= now && this.held === 0) {
      this.options.send(chunk);
      return;
    }
    this.held += 1;
    setTimeout(() => this.release(chunk), dueAt - now);
  }

  private release(chunk: Buffer): void {
    this.held -= 1;
    this.options.send(chunk);
    this.tellIfDrained();
  }

  private end(): void {
    this.isEnded = true;
    this.tellIfDrained();
  }

  private tellIfDrained(): void {
    if (this.isEnded && this.held === 0) this.options.onDrained();
  }
}
