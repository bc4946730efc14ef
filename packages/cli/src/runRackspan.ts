/** The `rackspan` command line. */

import { Command } from "commander";
import { addCommands } from "./commands/index.js";
import type { ExitCode } from "./exitCodes.js";
import { OperatorClient } from "./OperatorClient.js";
import { runProgram, type RunOptions } from "./runProgram.js";

const splitAddresses = (text: string | undefined): readonly string[] =>
  (text ?? "").split(",").filter((address) => address !== "");

/** @returns the exit code; see exitCodes.ts */
export const runRackspan = (options: RunOptions): Promise<ExitCode> => {
  const { env, output, stop } = options;
  return runProgram(options, (finish) => {
    const program = new Command("rackspan")
      .description(
        "scheduler for latency-critical and batch work on many small edge sites",
      )
      .option(
        "--entry <addresses>",
        "control addresses of entries, IP:PORT, joined by commas (or RACKSPAN_ENTRY)",
        env["RACKSPAN_ENTRY"],
      );
    const createContext = () => ({
      output,
      stop,
      client: new OperatorClient(splitAddresses(program.opts()["entry"])),
    });
    addCommands(program, createContext, finish);
    return program;
  });
};
