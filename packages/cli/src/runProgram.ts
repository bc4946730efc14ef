/** Runs a program built with commander, and turns its end into an exit code. */

import type { Command } from "commander";
import { EXIT_CODE, type ExitCode } from "./exitCodes.js";
import { handleFailure } from "./handleFailure.js";
import type { Output } from "./Output.js";

export interface RunOptions {
  /** Arguments after the program's name. */
  readonly args: readonly string[];
  readonly env: Readonly<Record<string, string | undefined>>;
  readonly output: Output;
  /** Aborted when a planned stop is asked for. */
  readonly stop: AbortSignal;
}

/** Commands call `finish` with their exit code; without a call it is OK. */
export type DefineProgram = (finish: (code: ExitCode) => void) => Command;

export const runProgram = async (
  { args, output }: RunOptions,
  define: DefineProgram,
): Promise<ExitCode> => {
  let code: ExitCode = EXIT_CODE.OK;
  const program = define((result) => (code = result)).configureOutput({
    writeOut: (text) => output.line(text.trimEnd()),
    writeErr: (text) => output.error(text.trimEnd()),
  });
  for (const command of [program, ...program.commands]) {
    command.exitOverride().copyInheritedSettings(program);
  }
  try {
    await program.parseAsync([...args], { from: "user" });
    return code;
  } catch (err) {
    return handleFailure(err, output);
  }
};
