/** The `rackspan-side` command line. */

import { Command } from "commander";
import {
  loadSettings,
  overrideFromFlag,
  overridesFromEnvironment,
} from "@rackspan/kernel";
import { SideProcess, sideSettingsSchema } from "@rackspan/side";
import type { ExitCode } from "./exitCodes.js";
import { runProcess } from "./runProcess.js";
import { runProgram, type RunOptions } from "./runProgram.js";
import {
  addSettingsOptions,
  type SettingsOptions,
} from "./addSettingsOptions.js";

const settingsFrom = (
  { config, set }: SettingsOptions,
  env: RunOptions["env"],
) =>
  loadSettings({
    file: config,
    schema: sideSettingsSchema,
    overrides: [...overridesFromEnvironment(env), ...set.map(overrideFromFlag)],
  });

/** @returns the exit code; see exitCodes.ts */
export const runSide = (options: RunOptions): Promise<ExitCode> => {
  const { env, output, stop } = options;
  return runProgram(options, (finish) => {
    const run = new Command("run").description("run the side process");
    addSettingsOptions(run);
    run.action(async (given: SettingsOptions) => {
      const settings = settingsFrom(given, env);
      finish(await runProcess(new SideProcess({ settings }), stop));
    });
    const check = new Command("check")
      .description("find faults in settings")
      .argument("<file>")
      .action((file: string) => {
        settingsFrom({ config: file, set: [] }, {});
        output.line(`no faults in ${file}`);
      });
    return new Command("rackspan-side")
      .description("the side process of an endpoint host")
      .addCommand(run)
      .addCommand(check);
  });
};
