/** One program as a process of its own, started again when asked; its output goes to a file. */

import { spawn, type ChildProcess } from "node:child_process";
import { closeSync, openSync } from "node:fs";
import { once } from "node:events";

const runningProcesses = new Set<ChildProcess>();

/** Ends every process that was started here, by its id; also frozen ones. */
export const killAllProcesses = (): void => {
  for (const child of runningProcesses) child.kill("SIGKILL");
};

export interface ManagedProcessOptions {
  /** Arguments of the runtime: the program and what it is told. */
  readonly args: readonly string[];
  readonly logFile: string;
}

export class ManagedProcess {
  private child: ChildProcess | undefined;
  private exited: Promise<unknown> = Promise.resolve();
  /** Times that it ended unasked. */
  unexpectedExits = 0;
  private isStopRequested = false;

  constructor(private readonly options: ManagedProcessOptions) {}

  get isUp(): boolean {
    return this.child !== undefined;
  }

  start(): void {
    if (this.child) return;
    const { args, logFile } = this.options;
    const log = openSync(logFile, "a");
    const child = spawn(process.execPath, args, {
      stdio: ["ignore", log, log],
    });
    closeSync(log);
    runningProcesses.add(child);
    this.child = child;
    this.isStopRequested = false;
    this.exited = once(child, "exit").then(() => {
      runningProcesses.delete(child);
      this.child = undefined;
      if (!this.isStopRequested) this.unexpectedExits += 1;
    });
  }

  suspend(): void {
    this.child?.kill("SIGSTOP");
  }

  resume(): void {
    this.child?.kill("SIGCONT");
  }

  async stop(signal: "SIGTERM" | "SIGKILL"): Promise<void> {
    if (!this.child) return;
    this.isStopRequested = true;
    this.child.kill("SIGCONT");
    this.child.kill(signal);
    await this.exited;
  }
}
