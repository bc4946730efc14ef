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
import { buildSide } from "./buildSide.js";

const INSTANCE = brand<WorkerInstance>("w1");
const RUN = { task: "j.0.0.0", run: 3 } as unknown as RunRef;
/** Looks begin this long after each multiple of 250 ms on the test's clock, at the most. */
const BETWEEN_LOOKS_MS = 1;
/** A side pauses for this after a look that failed. */
const IDLE_MS = 100;
/** No look waits longer for an end. */
const LONGEST_WAIT_MS = 700;

interface Death {
  /** How long after the worker's last answer it dies, milliseconds. */
  readonly afterMs: number;
  /** How long after that the look at it breaks off, milliseconds. */
  readonly silentMs?: number;
  /** Whether a look before that one broke off too, with the worker going on. */
  readonly isSecond?: boolean;
}

/**
 * A worker shows the run and then dies.
 *
 * @returns what its side says of the run
 */
const loseWorker = async ({
  afterMs,
  silentMs = 0,
  isSecond = false,
}: Death): Promise<boolean | undefined> => {
  const clock = new ManualClock();
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
  const { registry, watch, stop } = buildSide({
    host,
    clock,
    heard: [INSTANCE],
    unattendedLeaseMs: 3_000,
  });
  watch.raiseEpoch(1 as unknown as Epoch);
  watch.start();
  await clock.advance(500 + BETWEEN_LOOKS_MS);
  if (isSecond) {
    breakOff(new WorkerSilentError("the call broke off"));
    await clock.advance(IDLE_MS);
  }
  await clock.advance(afterMs);
  isDead = true;
  await clock.advance(silentMs);
  breakOff(new WorkerSilentError("the call broke off"));
  await clock.advance(1_000);
  await stop();
  const told = registry.runs.untold.find(
    (run) => runKeyOf(run) === runKeyOf(RUN),
  );
  return told?.wasAtWork;
};

test("a run was at work when the look at its worker breaks off before its answer was due", async () => {
  expect(await loseWorker({ afterMs: 100 })).toEqual(true);
});

test("a run may have ended when the answer was due before the look broke off", async () => {
  const death = { afterMs: 100, silentMs: LONGEST_WAIT_MS };
  expect(await loseWorker(death)).toEqual(false);
});

test("a run may have ended when the look broke off before the worker can have had it", async () => {
  expect(await loseWorker({ afterMs: 5 })).toEqual(false);
});

// A soak gave a job up in the same way: the worker died while its answers were held
// back, and the next look was dropped at once by what stood at its address.
test("a run may have ended when the look before had failed too", async () => {
  expect(await loseWorker({ afterMs: 100, isSecond: true })).toEqual(false);
});
