/**
 * A worker whose side is removed must not keep its lease for as long as the leader granted:
 * the side renews it only as far ahead as the worker may continue unattended.
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
import type { PollResponse, PollRequest, TaskHost } from "@rackspan/ports";
import { buildSide } from "./buildSide.js";
import { pollResponseOf } from "./pollResponseOf.js";

const UNATTENDED_MS = 3_000;
/** The worker's clock is ahead of the side's by this, milliseconds. */
const OFFSET_MS = 50_000;
const INSTANCE = brand<WorkerInstance>("w");

interface Renewal {
  readonly at: number;
  readonly leaseUntil: number | undefined;
}

/** A side that polls a worker; records how far ahead the lease was renewed. */
const startPoller = async () => {
  const clock = new ManualClock();
  const renewals: Renewal[] = [];
  const workerTime = (): WorkerTime =>
    (clock.monotonic() + OFFSET_MS) as unknown as WorkerTime;
  const host = {
    poll: async (
      _instance: WorkerInstance,
      { leaseUntil, waitMs }: PollRequest,
    ): Promise<PollResponse> => {
      renewals.push({ at: workerTime(), leaseUntil });
      await new Promise<void>((resolve) => clock.after(waitMs, resolve));
      return pollResponseOf(workerTime());
    },
  } as unknown as TaskHost;
  const { poller, stop } = buildSide({
    host,
    clock,
    registered: [INSTANCE],
    unattendedLeaseMs: UNATTENDED_MS,
  });
  poller.raiseEpoch(1 as unknown as Epoch);
  poller.start();
  await clock.advance(500);
  return { clock, poller, renewals, workerTime, stop };
};

const lastLease = (renewals: readonly Renewal[]): number =>
  renewals.at(-1)?.leaseUntil ?? 0;

test("a worker's lease is renewed no further ahead than it may continue unattended", async () => {
  const { clock, poller, renewals, workerTime, stop } = await startPoller();
  const granted = workerTime() + 10_000;
  poller.grant(INSTANCE, granted as unknown as WorkerTime);
  const from = renewals.length;
  await clock.advance(4_000);
  for (const { at, leaseUntil } of renewals.slice(from)) {
    expect((leaseUntil ?? 0) <= at + UNATTENDED_MS).toEqual(true);
  }
  await stop();
});

test("a worker keeps the whole granted lease as long as its side renews it", async () => {
  const { clock, poller, renewals, workerTime, stop } = await startPoller();
  const granted = workerTime() + 10_000;
  poller.grant(INSTANCE, granted as unknown as WorkerTime);
  await clock.advance(6_000);
  expect(lastLease(renewals) > workerTime() + 2_000).toEqual(true);
  await clock.advance(6_000);
  expect(lastLease(renewals)).toEqual(granted);
  await stop();
});

// The worker's clock keeps running while the side's is stopped: the side's estimate of the
// worker's time falls behind, so the lease ends earlier, and never later.
test("a side whose machine was suspended renews the lease no further ahead", async () => {
  const { clock, poller, renewals, workerTime, stop } = await startPoller();
  const granted = workerTime() + 10_000;
  poller.grant(INSTANCE, granted as unknown as WorkerTime);
  await clock.advance(1_000);
  clock.suspend(3_000);
  const from = renewals.length;
  await clock.advance(2_000);
  for (const { at, leaseUntil } of renewals.slice(from)) {
    expect((leaseUntil ?? 0) <= at + UNATTENDED_MS).toEqual(true);
  }
  await stop();
});
