/** Runs that ended unheard of before their worker died are not told as lost at work. */

import { test } from "node:test";
import { expect } from "earl";
import {
  brand,
  ManualClock,
  type Epoch,
  type WorkerInstance,
} from "@rackspan/common";
import {
  runKeyOf,
  WorkerReplacedError,
  WorkerSilentError,
  type PollResponse,
  type PollRequest,
  type RunRef,
  type TaskHost,
} from "@rackspan/ports";
import { buildSide } from "./buildSide.js";
import { pollResponseOf } from "./pollResponseOf.js";

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
  const host = {
    poll: (
      _: WorkerInstance,
      { waitMs }: PollRequest,
    ): Promise<PollResponse> => {
      if (isDead) throw new WorkerReplacedError(INSTANCE);
      return new Promise((resolve, reject) => {
        breakOff = reject;
        clock.after(waitMs, () => {
          if (!isDead) resolve(pollResponseOf(clock.monotonic(), [RUN]));
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
  const told = registry.runs.unreportedLostRuns.find(
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

// Whatever stands at the address by then may drop the next look at once.
test("a run may have ended when the look before had failed too", async () => {
  expect(await loseWorker({ afterMs: 100, isSecond: true })).toEqual(false);
});
