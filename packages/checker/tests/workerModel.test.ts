/** Incarnations of the modelled worker. */

import { test } from "node:test";
import { expect } from "earl";
import {
  brand,
  ManualClock,
  SeededRandom,
  type Epoch,
  type HostId,
  type JobTaskId,
  type RunNumber,
  type WorkerTime,
} from "@rackspan/common";
import {
  GangRunTracker,
  RunHistory,
  WorkerModel,
  type TaskTraits,
} from "@rackspan/checker";

const LASTING: TaskTraits = {
  milliCores: 100,
  runMs: undefined,
  fails: false,
  crashes: false,
  gang: undefined,
  reading: 0,
  savesCheckpoints: false,
};

test("a new incarnation of a worker that is up ends all runs of the previous one", async () => {
  const clock = new ManualClock();
  const history = new RunHistory();
  const worker = new WorkerModel({
    host: brand<HostId>("h1"),
    clock,
    random: new SeededRandom(1),
    history,
    gangs: new GangRunTracker(clock),
    milliCores: 1_000,
    traitsOf: () => LASTING,
  });
  const at = worker.poll(worker.instance, {
    epoch: 1 as unknown as Epoch,
    acknowledged: 0,
    leaseUntil: undefined,
    waitMs: 0,
  });
  await clock.advance(10);
  const started = worker.start(worker.instance, {
    epoch: 1 as unknown as Epoch,
    task: brand<JobTaskId>("j.0.0.0"),
    run: 1 as unknown as RunNumber,
    spec: "",
    leaseUntil: ((await at).at + 1_000) as WorkerTime,
    checkpoint: "",
  });
  await clock.advance(10);
  await started;
  expect(history.openRuns().length).toEqual(1);
  worker.restart();
  expect(history.openRuns()).toEqual([]);
});
