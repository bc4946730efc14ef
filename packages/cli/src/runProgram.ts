/** Runs a commander program, and maps its result to an exit code. */

import type { Command } from "commander";
import { EXIT_CODE, type ExitCode } from "./exitCodes.js";
import { handleFailure } from "./handleFailure.js";
import type { Output } from "./Output.js";

export interface RunOptions {
  /** Arguments after the program name. */
  readonly args: readonly string[];
  readonly env: Readonly<Record<string, string | undefined>>;
  readonly output: Output;
  /** Aborted when a planned stop is requested. */
  readonly stop: AbortSignal;
}

/** Defines the commands; a command calls `finish` with its exit code, the default is OK. */
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
