/** The command-line options for settings, shared by both binaries. */

import type { Command } from "commander";

export interface SettingsOptions {
  readonly config: string;
  /** `PATH=VALUE`, in the order given. */
  readonly set: readonly string[];
}

const appendValue = (
  value: string,
  before: readonly string[],
): readonly string[] => [...before, value];

export const addSettingsOptions = (command: Command): void => {
  command
    .requiredOption("--config <file>", "settings, JSON with comments")
    .option(
      "--set <path=value>",
      "override a setting; takes precedence over the environment, which takes precedence over the file",
      appendValue,
      [] as readonly string[],
    );
};
