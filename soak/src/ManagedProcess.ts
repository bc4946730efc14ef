/** Runs one program as a child process that can be restarted; its output goes to a file. */

import { spawn, type ChildProcess } from "node:child_process";
import { closeSync, openSync } from "node:fs";
import { once } from "node:events";

const runningProcesses = new Set<ChildProcess>();

/** Kills every process that was started here, including suspended ones. */
export const killAllProcesses = (): void => {
  for (const child of runningProcesses) child.kill("SIGKILL");
};

export interface ManagedProcessOptions {
  /** Arguments for Node.js: the program and its own arguments. */
  readonly args: readonly string[];
  readonly logFile: string;
}

export class ManagedProcess {
  private child: ChildProcess | undefined;
  private exited: Promise<unknown> = Promise.resolve();
  /** How often the process exited without a call of `stop`. */
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
