/** Lets a host fail so many tasks in a row that it is ejected. */

import type { EngineHarness, FakeHost } from "./engineHarness.js";

const FAILURES_TO_EJECT = 3;

/** Requires that the host is the only one of its service; the failed tasks keep waiting. */
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
