/** Waits for something to come about, by looking again and again. */

const POLL_MS = 10;
const DEFAULT_TIMEOUT_MS = 15_000;

/** @throws when it has not come about in time */
export const waitUntil = async (
  what: string,
  holds: () => boolean | Promise<boolean>,
  timeoutMs = DEFAULT_TIMEOUT_MS,
): Promise<void> => {
  const end = performance.now() + timeoutMs;
  while (!(await holds())) {
    if (performance.now() > end)
      throw new Error(`not within ${timeoutMs} ms: ${what}`);
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
};
