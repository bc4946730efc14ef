/** Waits for a condition by polling it. */

const POLL_MS = 10;
const DEFAULT_TIMEOUT_MS = 15_000;

/** @throws Error when the condition does not hold in time */
export const waitUntil = async (
  what: string,
  holds: () => boolean | Promise<boolean>,
  timeoutMs = DEFAULT_TIMEOUT_MS,
): Promise<void> => {
  const end = performance.now() + timeoutMs;
  while (!(await holds())) {
    if (performance.now() > end)
      throw new Error(`condition not met within ${timeoutMs} ms: ${what}`);
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
};
