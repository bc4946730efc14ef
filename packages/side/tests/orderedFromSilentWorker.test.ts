/** Reports of runs that were ordered after their worker had stopped answering. */

import { test } from "node:test";
import { expect } from "earl";
import {
  brand,
  type Epoch,
  type RunNumber,
  type WorkerInstance,
} from "@rackspan/common";
import { WorkerSilentError, type RunRef, type TaskHost } from "@rackspan/ports";
import { createHeartbeat } from "./createHeartbeat.js";
import { buildSide } from "./buildSide.js";

const INSTANCE = brand<WorkerInstance>("w1");
const BEFORE = { task: "j.0.0.0", run: 3 } as unknown as RunRef;
const AFTER: RunRef = { ...BEFORE, run: brand<RunNumber>(4) };

test("a run that was ordered after an unanswered poll is reported as ordered from a silent worker", async () => {
  const host = {
    poll: () => Promise.reject(new WorkerSilentError("no answer")),
  } as unknown as TaskHost;
  const { clock, registry, poller, stop } = buildSide({
    host,
    registered: [INSTANCE],
  });
  registry.runs.recordOrdered(INSTANCE, BEFORE);
  poller.raiseEpoch(1 as unknown as Epoch);
  poller.start();
  await clock.advance(350);
  registry.runs.recordOrdered(INSTANCE, AFTER);
  registry.recordHeartbeat(createHeartbeat("w2"));
  registry.confirmCurrent(brand<WorkerInstance>("w2"));
  const isOrderedLate = registry.runs.unreportedLostRuns.map(
    ({ orderedMs = 0 }) => orderedMs < 0,
  );
  expect(isOrderedLate).toEqual([false, true]);
  await stop();
});
