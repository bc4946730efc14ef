/** What a stand-in program is given, and what the worker can ask of it. */

import type { RequestLedger } from "./RequestLedger.js";
import type { TaskLedger } from "./TaskLedger.js";

export interface ProgramContext {
  readonly unit: string;
  readonly worker: string;
  readonly args: Readonly<Record<string, string | number>>;
  readonly checkpoint: string | undefined;
  readonly tasks: TaskLedger;
  readonly requests: RequestLedger;
  /** Called once when the program ends by itself. */
  readonly onEnd: (end: "succeeded" | "failed", detail?: string) => void;
}

export interface RunningProgram {
  /** Where it answers requests, if it does. */
  readonly address?: string;
  /** Stops it at once; no further effect may follow. */
  kill(): void;
  /** Limits it to a share of its speed, where it has one. */
  throttle?(share: number): void;
  /** Progress that a later task can go on from. */
  checkpoint(): string | undefined;
}

export type Program = (context: ProgramContext) => Promise<RunningProgram>;

export const numberArg = (
  args: ProgramContext["args"],
  name: string,
  fallback: number,
): number => {
  const value = Number(args[name] ?? fallback);
  return Number.isFinite(value) ? value : fallback;
};
