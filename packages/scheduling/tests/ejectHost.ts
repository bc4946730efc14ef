/** Has a host fail as many tasks in a row as get it ejected. */

import type { EngineHarness, FakeHost } from "./engineHarness.js";

const FAILURES_TO_EJECT = 3;

/** The host is the only one of its service; the failed tasks wait on. */
export const ejectHost = async (
  harness: EngineHarness,
  host: FakeHost,
): Promise<void> => {
  harness.submit("f", [{ taskCount: FAILURES_TO_EJECT }]);
  await harness.run(200);
  for (const task of [...host.runningTasks]) host.end(task, "failed");
  host.milliCores = 0;
  await harness.run(100);
  host.milliCores = 32_000;
  await harness.run(100);
};
