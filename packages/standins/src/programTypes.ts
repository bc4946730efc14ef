/** Interface between the stand-in worker and the programs that it runs. */

import type { RequestLedger } from "./RequestLedger.js";
import type { TaskLedger } from "./TaskLedger.js";

export interface ProgramContext {
  readonly unit: string;
  readonly worker: string;
  readonly args: Readonly<Record<string, string | number>>;
  readonly checkpoint: string | undefined;
  readonly tasks: TaskLedger;
  readonly requests: RequestLedger;
  /** Called once when the program ends without being killed. */
  readonly onEnd: (end: "succeeded" | "failed", detail?: string) => void;
}

export interface RunningProgram {
  /** Address at which the program serves requests, if it does. */
  readonly address?: string;
  /** Stops the program at once; it must have no effect afterwards. */
  kill(): void;
  /** Limits the program to a share of its full speed, if it has a speed. */
  throttle?(share: number): void;
  /** Progress from which a later task can resume. */
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
