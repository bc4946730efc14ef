/**
 * A run that ended before its worker died, without the side receiving the end, must not be
 * reported as lost while at work. The side infers "at work" from a poll that is interrupted
 * while the worker holds it.
 */

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
/** Polls start at most this long after each multiple of 250 ms on the test's clock. */
const POLL_OFFSET_MS = 1;
/** A side pauses for this long after a failed poll. */
const IDLE_MS = 100;
/** No poll waits longer than this for an end. */
const LONGEST_WAIT_MS = 700;

interface Death {
  /** Time from the worker's last answer to its death, milliseconds. */
  readonly afterMs: number;
  /** Time from its death until the poll is interrupted, milliseconds. */
  readonly silentMs?: number;
  /** Whether the poll before was interrupted too, while the worker kept running. */
  readonly isSecondInterruption?: boolean;
}

/**
 * A worker lists the run and then dies.
 *
 * @returns whether its side reports the run as lost while at work
 */
const loseWorker = async ({
  afterMs,
  silentMs = 0,
  isSecondInterruption = false,
}: Death): Promise<boolean | undefined> => {
  const clock = new ManualClock();
  let isDead = false;
  let interrupt: (err: Error) => void = () => undefined;
  const host = {
    poll: (
      _: WorkerInstance,
      { waitMs }: PollRequest,
    ): Promise<PollResponse> => {
      if (isDead) throw new WorkerReplacedError(INSTANCE);
      return new Promise((resolve, reject) => {
        interrupt = reject;
        clock.after(waitMs, () => {
          if (!isDead) resolve(pollResponseOf(clock.monotonic(), [RUN]));
        });
      });
    },
  } as unknown as TaskHost;
  const { registry, poller, stop } = buildSide({
    host,
    clock,
    registered: [INSTANCE],
    unattendedLeaseMs: 3_000,
  });
  poller.raiseEpoch(1 as unknown as Epoch);
  poller.start();
  await clock.advance(500 + POLL_OFFSET_MS);
  if (isSecondInterruption) {
    interrupt(new WorkerSilentError("the call broke off"));
    await clock.advance(IDLE_MS);
  }
  await clock.advance(afterMs);
  isDead = true;
  await clock.advance(silentMs);
  interrupt(new WorkerSilentError("the call broke off"));
  await clock.advance(1_000);
  await stop();
  const lostRun = registry.runs.unreportedLostRuns.find(
    (run) => runKeyOf(run) === runKeyOf(RUN),
  );
  return lostRun?.wasAtWork;
};

test("a run was at work when a poll of its worker is interrupted before the answer was due", async () => {
  expect(await loseWorker({ afterMs: 100 })).toEqual(true);
});

test("a run may have ended when the answer was due before the poll was interrupted", async () => {
  const death = { afterMs: 100, silentMs: LONGEST_WAIT_MS };
  expect(await loseWorker(death)).toEqual(false);
});

test("a run may have ended when the poll was interrupted before it can have reached the worker", async () => {
  expect(await loseWorker({ afterMs: 5 })).toEqual(false);
});

// Another process that has taken the address may drop the next poll at once.
test("a run may have ended when the previous poll had failed too", async () => {
  expect(
    await loseWorker({ afterMs: 100, isSecondInterruption: true }),
  ).toEqual(false);
});
