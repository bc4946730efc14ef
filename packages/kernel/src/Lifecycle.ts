/** Start, drain and stop of the parts of one process, in order. */

import { describeError, type Logger } from "@rackspan/common";

/** A part of a process. Each step is optional. */
export interface LifecyclePart {
  readonly name: string;
  start?(): Promise<void>;
  /** Takes no new work, and resolves once work in progress is done. */
  drain?(): Promise<void>;
  stop?(): Promise<void>;
}

export type LifecycleState = "starting" | "running" | "draining" | "stopped";

export class Lifecycle {
  private current: LifecycleState = "starting";
  private readonly started: LifecyclePart[] = [];

  constructor(
    private readonly parts: readonly LifecyclePart[],
    private readonly logger: Logger,
  ) {}

  get state(): LifecycleState {
    return this.current;
  }

  /** Starts the parts in order; a failure stops what had started and is thrown. */
  async start(): Promise<void> {
    try {
      for (const part of this.parts) {
        await part.start?.();
        this.started.push(part);
      }
    } catch (err) {
      await this.stopStarted();
      this.current = "stopped";
      throw err;
    }
    this.current = "running";
    this.logger.info("lifecycle.running");
  }

  /** A planned stop: drains in order, then stops in reverse order. */
  async shutDown(): Promise<void> {
    if (this.current !== "running") return;
    this.current = "draining";
    this.logger.info("lifecycle.draining");
    for (const part of this.started) await this.attempt("drain", part);
    await this.stopStarted();
    this.current = "stopped";
    this.logger.info("lifecycle.stopped");
  }

  /** Stops at once, as a kill would. */
  async kill(): Promise<void> {
    this.current = "stopped";
    await this.stopStarted();
  }

  private async stopStarted(): Promise<void> {
    while (this.started.length > 0) {
      await this.attempt("stop", this.started.pop() as LifecyclePart);
    }
  }

  private async attempt(
    step: "drain" | "stop",
    part: LifecyclePart,
  ): Promise<void> {
    try {
      await part[step]?.();
    } catch (err) {
      const error = describeError(err);
      this.logger.error("lifecycle.step-failed", {
        step,
        part: part.name,
        error,
      });
    }
  }
}
