/** Runs commands of the operators' command line in this process against a site. */

import { EXIT_CODE, runRackspan, type ExitCode } from "@rackspan/cli";

export interface CommandResult {
  readonly code: ExitCode;
  readonly out: string;
  readonly err: string;
}

export class OperatorSession {
  constructor(private readonly addresses: readonly string[]) {}

  async run(...args: string[]): Promise<CommandResult> {
    const out: string[] = [];
    const err: string[] = [];
    const code = await runRackspan({
      args: ["--entry", this.addresses.join(","), ...args],
      env: {},
      output: {
        line: (text) => out.push(text),
        error: (text) => err.push(text),
      },
      stop: new AbortController().signal,
    });
    return { code, out: out.join("\n"), err: err.join("\n") };
  }

  /** @throws Error when the command does not succeed */
  async runOrThrow(...args: string[]): Promise<string> {
    const { code, out, err } = await this.run(...args);
    if (code !== EXIT_CODE.OK)
      throw new Error(`rackspan ${args.join(" ")}: exit code ${code}: ${err}`);
    return out;
  }
}
