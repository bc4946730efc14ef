/** Maps a failure of a command to a message and an exit code. */

import { CommanderError } from "commander";
import { RackspanError } from "@rackspan/common";
import { SettingsError } from "@rackspan/kernel";
import { EXIT_CODE, type ExitCode } from "./exitCodes.js";
import { NoEntryError } from "./OperatorClient.js";
import type { Output } from "./Output.js";

export const handleFailure = (err: unknown, output: Output): ExitCode => {
  if (err instanceof CommanderError) {
    // Commander has already written its own message.
    return err.exitCode === 0 ? EXIT_CODE.OK : EXIT_CODE.BAD_INPUT;
  }
  if (err instanceof SettingsError) {
    output.error(err.what);
    return EXIT_CODE.BAD_INPUT;
  }
  if (err instanceof NoEntryError) {
    output.error(err.message);
    return EXIT_CODE.UNREACHABLE;
  }
  if (err instanceof RackspanError) {
    output.error(`${err.kind}: ${err.message}`);
    return EXIT_CODE.REFUSED;
  }
  output.error(err instanceof Error ? (err.stack ?? err.message) : String(err));
  return EXIT_CODE.FAILED;
};

/** Aborted by the first SIGTERM or SIGINT; a second one ends the process at once. */
export const stopSignal = (): AbortSignal => {
  const stop = new AbortController();
  const onSignal = (): void => {
    if (stop.signal.aborted) process.exit(EXIT_CODE.FAILED);
    stop.abort();
  };
  process.on("SIGTERM", onSignal);
  process.on("SIGINT", onSignal);
  return stop.signal;
};
