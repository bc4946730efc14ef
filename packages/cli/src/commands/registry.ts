/** Registry of commands; each command registers itself from its own file. */

import { Command } from "commander";
import type { ExitCode } from "../exitCodes.js";
import type { OperatorClient } from "../OperatorClient.js";
import type { Output } from "../Output.js";

export interface CommandContext {
  readonly output: Output;
  readonly client: OperatorClient;
  /** Aborted on SIGTERM and SIGINT, so that long-running commands can stop. */
  readonly stop: AbortSignal;
}

export interface CommandSpec<Options> {
  readonly name: string;
  readonly summary: string;
  /** Adds arguments and options to the command. */
  readonly define?: (command: Command) => void;
  readonly perform: (
    context: CommandContext,
    args: readonly string[],
    options: Options,
  ) => Promise<ExitCode>;
}

const specs: CommandSpec<unknown>[] = [];

export const registerCommand = <Options>(spec: CommandSpec<Options>): void => {
  specs.push(spec as CommandSpec<unknown>);
};

export type FinishCommand = (code: ExitCode) => void;

/** Adds all registered commands to the program. */
export const addCommands = (
  program: Command,
  createContext: () => CommandContext,
  finish: FinishCommand,
): void => {
  for (const spec of [...specs].sort((a, b) => (a.name < b.name ? -1 : 1))) {
    const command = new Command(spec.name).description(spec.summary);
    spec.define?.(command);
    command.action(async (...received: unknown[]) => {
      const args = received.slice(0, -2).flat().map(String);
      const options = command.opts();
      finish(await spec.perform(createContext(), args, options));
    });
    program.addCommand(command);
  }
};
