/** The `rackspan-side` command line. */

import { Command } from "commander";
import {
  loadSettings,
  overrideFromFlag,
  overridesFromEnvironment,
} from "@rackspan/kernel";
import { SideProcess, sideSettingsSchema } from "@rackspan/side";
import { EXIT_CODE, type ExitCode } from "./exitCodes.js";
import { handleFailure } from "./handleFailure.js";
import { runProcess } from "./runProcess.js";
import type { RunOptions } from "./runRackspan.js";
import { collectOverrides, type SettingsOptions } from "./settingsOptions.js";

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
export const runSide = async ({
  args,
  env,
  output,
  stop,
}: RunOptions): Promise<ExitCode> => {
  let code: ExitCode = EXIT_CODE.OK;
  const program = new Command("rackspan-side")
    .description("the side process of an endpoint host")
    .configureOutput({
      writeOut: (text) => output.line(text.trimEnd()),
      writeErr: (text) => output.error(text.trimEnd()),
    });
  const run = new Command("run").description("run the side process");
  collectOverrides(run);
  run.action(async (options: SettingsOptions) => {
    const settings = settingsFrom(options, env);
    code = await runProcess(new SideProcess({ settings }), stop);
  });
  const check = new Command("check")
    .description("find faults in settings")
    .argument("<file>")
    .action((file: string) => {
      settingsFrom({ config: file, set: [] }, {});
      output.line(`no faults in ${file}`);
    });
  program.addCommand(run).addCommand(check);
  for (const command of [program, run, check]) {
    command.exitOverride().copyInheritedSettings(program);
  }
  try {
    await program.parseAsync([...args], { from: "user" });
    return code;
  } catch (err) {
    return handleFailure(err, output);
  }
};
