/**
 * A worker that rejects the starts sent to its previous incarnation gets no lease from them,
 * so its lease bound must not include the longest lease.
 */

import { test } from "node:test";
import { expect } from "earl";
import {
  brand,
  ManualClock,
  sleep,
  type Epoch,
  type WorkerInstance,
  type WorkerTime,
} from "@rackspan/common";
import { latestLeaseExpiry } from "@rackspan/leadership";
import {
  TaskRefusedError,
  WorkerSilentError,
  type PollResponse,
  type PollRequest,
  type RunStart,
  type TaskHost,
} from "@rackspan/ports";
import { FencedTaskHost } from "@rackspan/side";
import { createHeartbeat } from "./createHeartbeat.js";
import { buildSide } from "./buildSide.js";
import { pollResponseOf } from "./pollResponseOf.js";
import { START_CALL } from "./startCall.js";

const CALL_TIMEOUT_MS = 400;
const UNATTENDED_MS = 5_490;
const FIRST = brand<WorkerInstance>("w1");
const NEXT = brand<WorkerInstance>("w2");
const EPOCH = 1 as unknown as Epoch;

/** A worker that answers no start, and rejects calls below the highest epoch it has received. */
const startPoller = async () => {
  const clock = new ManualClock();
  const worker = {
    receivedEpoch: 0,
    isSilent: false,
    starts: [] as RunStart[],
  };
  const at = (): WorkerTime => clock.monotonic() as unknown as WorkerTime;
  const timeOut = async (): Promise<never> => {
    await sleep(clock, CALL_TIMEOUT_MS);
    throw new WorkerSilentError("no answer");
  };
  const accept = (epoch: Epoch): void => {
    if (epoch < worker.receivedEpoch)
      throw new TaskRefusedError("a higher one", true);
    worker.receivedEpoch = epoch;
  };
  const inner = {
    poll: async (
      _: WorkerInstance,
      { epoch, waitMs }: PollRequest,
    ): Promise<PollResponse> => {
      if (worker.isSilent) return timeOut();
      accept(epoch);
      await sleep(clock, waitMs);
      return worker.isSilent ? timeOut() : pollResponseOf(at());
    },
    start: (_: WorkerInstance, order: RunStart) => {
      worker.starts.push(order);
      return timeOut();
    },
    stop: async (_: WorkerInstance, __: unknown, epoch: Epoch) => {
      accept(epoch);
      return at();
    },
  } as unknown as TaskHost;
  const host = new FencedTaskHost({ host: inner, clock });
  const side = buildSide({
    host,
    clock,
    registered: [FIRST],
    unattendedLeaseMs: UNATTENDED_MS,
  });
  side.poller.raiseEpoch(EPOCH);
  side.poller.start();
  await clock.advance(500);
  return { ...side, clock, worker, at };
};

// A rejected start gives no lease, so nothing outlasts the lease that the side has renewed.
test("the lease bound of a silent worker that rejects starts of its previous incarnation is its renewed lease", async () => {
  const { clock, worker, poller, registry, orders, at, stop } =
    await startPoller();
  void orders.start({ ...START_CALL, instance: FIRST, epoch: EPOCH });
  await clock.advance(CALL_TIMEOUT_MS);
  worker.receivedEpoch = 0;
  registry.recordHeartbeat(createHeartbeat("w2"));
  await clock.advance(11_000);
  expect(
    worker.starts.every(({ epoch }) => epoch < worker.receivedEpoch),
  ).toEqual(true);
  poller.grant(NEXT, (at() + 10_000) as unknown as WorkerTime);
  await clock.advance(1_000);
  worker.isSilent = true;
  await clock.advance(2 * CALL_TIMEOUT_MS);
  const overInMs = poller.stopRenewingLease() ?? Infinity;
  const maxMs = latestLeaseExpiry(0, UNATTENDED_MS);
  expect(Math.max(overInMs, maxMs)).toEqual(maxMs);
  await stop();
});
