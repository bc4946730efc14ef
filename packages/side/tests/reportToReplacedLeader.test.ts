/** A report to a leader that no longer decides must be repeated to the next leader. */

import { test } from "node:test";
import { expect } from "earl";
import {
  brand,
  ManualClock,
  silentLogger,
  type JobTaskId,
  type RunNumber,
  type WorkerInstance,
} from "@rackspan/common";
import { SilenceReporter, WorkerRegistry } from "@rackspan/side";
import { createHeartbeat } from "./createHeartbeat.js";

const FIRST = brand<WorkerInstance>("w1");
const RUN = { task: brand<JobTaskId>("j.0.0.0"), run: brand<RunNumber>(7) };

test("a run that never began is reported to the next leader when the previous one received it but grants nothing", async () => {
  const clock = new ManualClock();
  const registry = new WorkerRegistry(clock, silentLogger);
  registry.recordHeartbeat(createHeartbeat("w1"));
  registry.runs.recordOrdered(FIRST, RUN);
  registry.recordHeartbeat(createHeartbeat("w2"));
  registry.confirmCurrent(brand<WorkerInstance>("w2"));
  registry.runs.recordRefused(FIRST, RUN);
  const silence = new SilenceReporter({
    connection: { call: () => Promise.resolve({ grants: false }) },
    attachedAt: clock.monotonic(),
    registry,
    poller: {
      stopRenewingLease: () => 0,
      isResponding: false,
      currentEpoch: 1,
    },
    clock,
    logger: silentLogger,
    callTimeoutMs: 1_000,
  } as unknown as ConstructorParameters<typeof SilenceReporter>[0]);
  await silence.report();
  expect(registry.runs.unreportedNeverBegun).toEqual([RUN]);
});
