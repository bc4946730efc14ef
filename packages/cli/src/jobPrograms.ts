/** The two programs for jobs: `rackspan entry`, and `rackspan-side run` beside each worker. */

import { Command } from "commander";
import type { z } from "zod";
import { describeError, type Logger } from "@rackspan/common";
import { JobEntryProcess, jobEntrySettingsSchema } from "@rackspan/entry";
import {
  loadSettings,
  overrideFromFlag,
  overridesFromEnvironment,
} from "@rackspan/kernel";
import { JobSideProcess, jobSideSettingsSchema } from "@rackspan/side";
import type { ExitCode } from "./exitCodes.js";
import { runProcess, type StoppableProcess } from "./runProcess.js";
import { runProgram, type RunOptions } from "./runProgram.js";
import type { SettingsOptions } from "./addSettingsOptions.js";

/** Names the settings file if `--config` is not given. */
const CONFIG_VARIABLE = "RACKSPAN_CONFIG";

interface JobProcess extends StoppableProcess {
  readonly logger: Logger;
}

interface JobProgram<S extends z.ZodType> {
  readonly name: string;
  readonly command: string;
  readonly summary: string;
  readonly schema: S;
  readonly create: (settings: z.output<S>) => JobProcess;
}

const settingsCommand = (name: string, summary: string): Command =>
  new Command(name)
    .description(summary)
    .option(
      "--config <file>",
      `settings, JSON with comments (or ${CONFIG_VARIABLE})`,
    )
    .option(
      "--set <path=value>",
      "override a setting; takes precedence over the environment, which takes precedence over the file",
      (value: string, before: readonly string[]) => [...before, value],
      [] as readonly string[],
    );

const loadFrom = <S extends z.ZodType>(
  schema: S,
  { config, set }: Partial<SettingsOptions>,
  env: RunOptions["env"],
): z.output<S> =>
  loadSettings({
    file: config ?? env[CONFIG_VARIABLE] ?? "rackspan.jsonc",
    schema,
    overrides: [
      ...overridesFromEnvironment(env),
      ...(set ?? []).map(overrideFromFlag),
    ],
  });

/**
 * Validates the settings again on SIGHUP, so that faults are found before the next start.
 * Changed settings take effect only at the next start.
 */
const checkOnSignal = (read: () => unknown, logger: Logger): void => {
  process.on("SIGHUP", () => {
    try {
      read();
      logger.info("settings.checked", { takesEffect: "next-start" });
    } catch (err) {
      logger.error("settings.faulty", { error: describeError(err) });
    }
  });
};

const runJobProgram = <S extends z.ZodType>(
  options: RunOptions,
  program: JobProgram<S>,
): Promise<ExitCode> => {
  const { env, output, stop } = options;
  const { schema } = program;
  return runProgram(options, (finish) => {
    const run = settingsCommand(program.command, program.summary);
    run.action(async (given: Partial<SettingsOptions>) => {
      const job = program.create(loadFrom(schema, given, env));
      checkOnSignal(() => loadFrom(schema, given, env), job.logger);
      finish(await runProcess(job, stop));
    });
    const check = settingsCommand("check", "find faults in settings");
    check.action((given: Partial<SettingsOptions>) => {
      loadFrom(schema, given, env);
      output.line("no faults found");
    });
    return new Command(program.name)
      .description(program.summary)
      .addCommand(run)
      .addCommand(check);
  });
};

export const runJobEntry = (options: RunOptions): Promise<ExitCode> =>
  runJobProgram(options, {
    name: "rackspan",
    command: "entry",
    summary: "accept jobs from callers, and schedule them while leading",
    schema: jobEntrySettingsSchema,
    create: (settings) => new JobEntryProcess({ settings }),
  });

export const runJobSide = (options: RunOptions): Promise<ExitCode> =>
  runJobProgram(options, {
    name: "rackspan-side",
    command: "run",
    summary: "run tasks of jobs on the worker of this host",
    schema: jobSideSettingsSchema,
    create: (settings) => new JobSideProcess({ settings }),
  });
