/** Runs a process until a signal asks for a planned stop. */

import { EXIT_CODE, type ExitCode } from "./exitCodes.js";

export interface StoppableProcess {
  start(): Promise<void>;
  shutDown(): Promise<void>;
}

/** Settles once the process has stopped by itself after `stop`. */
export const runProcess = async (
  process: StoppableProcess,
  stop: AbortSignal,
): Promise<ExitCode> => {
  await process.start();
  if (!stop.aborted) {
    await new Promise<void>((resolve) => {
      // Keeps the process alive: all of its own timers are unreferenced.
      const alive = setInterval(() => undefined, 60_000);
      stop.addEventListener("abort", () => {
        clearInterval(alive);
        resolve();
      });
    });
  }
  await process.shutDown();
  return EXIT_CODE.OK;
};
