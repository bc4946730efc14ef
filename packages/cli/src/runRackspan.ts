/** The `rackspan` command line. */

import { Command } from "commander";
import { addCommands } from "./commands/index.js";
import { EXIT_CODE, type ExitCode } from "./exitCodes.js";
import { handleFailure } from "./handleFailure.js";
import { OperatorClient } from "./OperatorClient.js";
import type { Output } from "./Output.js";

export interface RunOptions {
  /** Arguments after the program's name. */
  readonly args: readonly string[];
  readonly env: Readonly<Record<string, string | undefined>>;
  readonly output: Output;
  readonly stop: AbortSignal;
}

const splitAddresses = (text: string | undefined): readonly string[] =>
  (text ?? "").split(",").filter((address) => address !== "");

/** @returns the exit code; see exitCodes.ts */
export const runRackspan = async ({
  args,
  env,
  output,
  stop,
}: RunOptions): Promise<ExitCode> => {
  let code: ExitCode = EXIT_CODE.OK;
  const program = new Command("rackspan")
    .description(
      "scheduler for latency-critical and batch work on many small edge sites",
    )
    .option(
      "--entry <addresses>",
      "control addresses of entries, IP:PORT, joined by commas (or RACKSPAN_ENTRY)",
      env["RACKSPAN_ENTRY"],
    )
    .configureOutput({
      writeOut: (text) => output.line(text.trimEnd()),
      writeErr: (text) => output.error(text.trimEnd()),
    });
  const createContext = () => ({
    output,
    stop,
    client: new OperatorClient(splitAddresses(program.opts()["entry"])),
  });
  addCommands(program, createContext, (result) => (code = result));
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
