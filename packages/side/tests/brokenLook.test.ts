/**
 * What users saw: a job whose task had been done twice was shown as failed.
 *
 * Order of events: the task ends; before the side has heard of it, its worker dies.
 * The same happens to the task's next run.
 *
 * Cause: side and leader took every run that they had not heard the end of for one
 * that was at work when its worker died, and so for one that may have crashed it.
 *
 * Evidence: of 50 soaks in which half of the workers died each 2.5 s, two showed it;
 * the worker's own record of both runs was `done`, and nobody had taken note of them.
 */

import { test } from "node:test";
import { expect } from "earl";
import {
  brand,
  ManualClock,
  Metrics,
  silentLogger,
  type Epoch,
  type WorkerInstance,
  type WorkerTime,
} from "@rackspan/common";
import {
  runKeyOf,
  WorkerReplacedError,
  WorkerSilentError,
  type HoldAnswer,
  type HoldOrder,
  type RunRef,
  type TaskHost,
} from "@rackspan/ports";
import { Pacer, WorkerRegistry, WorkerWatch } from "@rackspan/side";
import { beatOf } from "./beatOf.js";

const INSTANCE = brand<WorkerInstance>("w1");
const RUN = { task: "j.0.0.0", run: 3 } as unknown as RunRef;
/** No look waits longer for an end. */
const LONGEST_WAIT_MS = 700;

/**
 * A worker shows the run and then dies.
 *
 * @param silentMs how long after that the call to it breaks off
 * @returns what its side says of the run
 */
const loseWorker = async (silentMs: number): Promise<boolean | undefined> => {
  const clock = new ManualClock();
  const logger = silentLogger;
  let isDead = false;
  let breakOff: (err: Error) => void = () => undefined;
  const answer = (): HoldAnswer => ({
    at: clock.monotonic() as unknown as WorkerTime,
    running: [{ ...RUN, checkpoint: "", progressPercent: 1, reading: 0 }],
    ended: [],
    hasMoreEnds: false,
  });
  const host = {
    hold: (_: WorkerInstance, { waitMs }: HoldOrder): Promise<HoldAnswer> => {
      if (isDead) throw new WorkerReplacedError(INSTANCE);
      return new Promise((resolve, reject) => {
        breakOff = reject;
        clock.after(waitMs, () => {
          if (!isDead) resolve(answer());
        });
      });
    },
  } as unknown as TaskHost;
  const base = { host, clock, logger };
  const metrics = new Metrics();
  const pacer = new Pacer({
    ...base,
    metrics,
    tailGraceMs: 4_000,
    tailAim: 0.9,
  });
  const registry = new WorkerRegistry(clock, logger);
  registry.noteHeartbeat(beatOf(INSTANCE));
  const watch = new WorkerWatch({
    ...base,
    registry,
    pacer,
    unattendedLeaseMs: 3_000,
  });
  watch.raiseEpoch(1 as unknown as Epoch);
  watch.start();
  await clock.advance(600);
  isDead = true;
  await clock.advance(silentMs);
  breakOff(new WorkerSilentError("the call broke off"));
  await clock.advance(1_000);
  const stopped = watch.stop();
  await clock.advance(1_000);
  await stopped;
  const told = registry.runs.untold.find(
    (run) => runKeyOf(run) === runKeyOf(RUN),
  );
  return told?.wasAtWork;
};

test("a run was at work when the look at its worker breaks off before its answer was due", async () => {
  expect(await loseWorker(0)).toEqual(true);
});

test("a run may have ended when the answer was due before the look broke off", async () => {
  expect(await loseWorker(LONGEST_WAIT_MS)).toEqual(false);
});
