/** Runs a process until a signal requests a planned stop. */

import { EXIT_CODE, type ExitCode } from "./exitCodes.js";

export interface StoppableProcess {
  start(): Promise<void>;
  shutDown(): Promise<void>;
}

/** Resolves once the process has shut down after `stop` was aborted. */
export const runProcess = async (
  process: StoppableProcess,
  stop: AbortSignal,
): Promise<ExitCode> => {
  await process.start();
  if (!stop.aborted) {
    await new Promise<void>((resolve) => {
      // Keeps the process alive, because all of its own timers are unreferenced.
      const keepAlive = setInterval(() => undefined, 60_000);
      stop.addEventListener("abort", () => {
        clearInterval(keepAlive);
        resolve();
      });
    });
  }
  await process.shutDown();
  return EXIT_CODE.OK;
};
