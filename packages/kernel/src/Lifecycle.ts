/** Starts, drains and stops the parts of one process in order. */

import { describeError, type Logger } from "@rackspan/common";

/** A part of a process with its own start, drain and stop; each is optional. */
export interface LifecyclePart {
  readonly name: string;
  start?(): Promise<void>;
  /** Stops accepting new work, and resolves once work in progress is done. */
  drain?(): Promise<void>;
  stop?(): Promise<void>;
}

export type LifecycleState = "starting" | "running" | "draining" | "stopped";

export class Lifecycle {
  private currentState: LifecycleState = "starting";
  private readonly started: LifecyclePart[] = [];

  constructor(
    private readonly parts: readonly LifecyclePart[],
    private readonly logger: Logger,
  ) {}

  get state(): LifecycleState {
    return this.currentState;
  }

  /** Starts the parts in order. If one fails, stops those already started and rethrows the error. */
  async start(): Promise<void> {
    try {
      for (const part of this.parts) {
        await part.start?.();
        this.started.push(part);
      }
    } catch (err) {
      await this.stopStarted();
      this.currentState = "stopped";
      throw err;
    }
    this.currentState = "running";
    this.logger.info("lifecycle.running");
  }

  /** Planned stop: drains the parts in order, then stops them in reverse order. */
  async shutDown(): Promise<void> {
    if (this.currentState !== "running") return;
    this.currentState = "draining";
    this.logger.info("lifecycle.draining");
    for (const part of this.started) await this.runStep("drain", part);
    await this.stopStarted();
    this.currentState = "stopped";
    this.logger.info("lifecycle.stopped");
  }

  /** Stops at once without draining, like a killed process. */
  async kill(): Promise<void> {
    this.currentState = "stopped";
    await this.stopStarted();
  }

  private async stopStarted(): Promise<void> {
    while (this.started.length > 0) {
      await this.runStep("stop", this.started.pop() as LifecyclePart);
    }
  }

  private async runStep(
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
