/**
 * Leases sent to a worker while it is silent and once it answers again. A lease that outlasts
 * the bound reported to a leader would let runs continue that the leader starts elsewhere.
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
import { LEASE } from "@rackspan/leadership";
import {
  TaskRefusedError,
  WorkerSilentError,
  type PollResponse,
  type PollRequest,
  type TaskHost,
} from "@rackspan/ports";
import { buildSide } from "./buildSide.js";
import { pollResponseOf } from "./pollResponseOf.js";
import { START_CALL } from "./startCall.js";

const INSTANCE = brand<WorkerInstance>("w1");
const LONGEST_MS = 10_000;
const UNATTENDED_MS = 6_000;
/** A poll without an answer times out after this. */
const TIMEOUT_MS = 650;
/** Longer than a poll and the pause after it take. */
const SEVERAL_LOOKS_MS = 2_000;

interface Look {
  readonly sentAt: number;
  readonly leaseUntil: number | undefined;
}

/** A side with a worker whose clock equals the side's, with a lease under epoch 1. */
const watchWorker = async () => {
  const clock = new ManualClock();
  const looks: Look[] = [];
  const worker = { answers: true, fences: false };
  const workerTime = (): WorkerTime =>
    clock.monotonic() as unknown as WorkerTime;
  const host = {
    poll: async (
      _: WorkerInstance,
      { leaseUntil, waitMs }: PollRequest,
    ): Promise<PollResponse> => {
      looks.push({ sentAt: clock.monotonic(), leaseUntil });
      if (worker.fences) throw new TaskRefusedError("a higher epoch", true);
      const isAnswered = worker.answers;
      const takesMs = isAnswered ? waitMs : TIMEOUT_MS;
      await new Promise<void>((resolve) => clock.after(takesMs, resolve));
      if (!isAnswered) throw new WorkerSilentError("no answer");
      return pollResponseOf(workerTime());
    },
    start: async (): Promise<never> => {
      throw new WorkerSilentError("no answer");
    },
  } as unknown as TaskHost;
  const { watch, orders, stop } = buildSide({
    host,
    clock,
    heard: [INSTANCE],
    unattendedLeaseMs: UNATTENDED_MS,
    longestLeaseMs: LONGEST_MS,
  });
  const lead = (epoch: number): void =>
    watch.raiseEpoch(epoch as unknown as Epoch);
  const grant = (): void =>
    watch.grant(
      INSTANCE,
      (clock.monotonic() + LONGEST_MS) as unknown as WorkerTime,
    );
  lead(1);
  watch.start();
  // Leases of a previous process are over by then.
  await clock.advance(2 * LONGEST_MS);
  grant();
  await clock.advance(1_000);
  return { clock, watch, orders, looks, worker, lead, grant, stop };
};

const leasesOf = (looks: readonly Look[]): number[] =>
  looks.flatMap(({ leaseUntil }) => leaseUntil ?? []);

test("a silent worker's lease is not renewed until it answers again", async () => {
  const { clock, looks, worker, stop } = await watchWorker();
  worker.answers = false;
  await clock.advance(SEVERAL_LOOKS_MS);
  const before = looks.length;
  await clock.advance(SEVERAL_LOOKS_MS);
  expect(looks.length > before).toEqual(true);
  expect(leasesOf(looks.slice(before))).toEqual([]);
  worker.answers = true;
  await clock.advance(SEVERAL_LOOKS_MS);
  expect(leasesOf(looks.slice(before)).length > 0).toEqual(true);
  await stop();
});

test("no lease that was sent lasts longer than the bound reported to a leader", async () => {
  const { clock, watch, looks, worker, lead, stop } = await watchWorker();
  worker.answers = false;
  await clock.advance(SEVERAL_LOOKS_MS);
  lead(2);
  const overInMs = watch.stopRenewingLease() ?? 0;
  const overBy = clock.monotonic() + overInMs;
  const now = clock.monotonic();
  const lastMs = Math.max(...leasesOf(looks)) - now;
  expect(overInMs >= lastMs * (1 + LEASE.workerClockDrift)).toEqual(true);
  expect(overInMs <= UNATTENDED_MS * 1.1).toEqual(true);
  await clock.advance(SEVERAL_LOOKS_MS);
  expect(
    clock.monotonic() + (watch.stopRenewingLease() ?? 0) <= overBy,
  ).toEqual(true);
  await stop();
});

/** The worker answers again just after its silence was reported to the leader. */
const answerOnceTold = async ({
  changesLeader,
}: {
  changesLeader: boolean;
}) => {
  const site = await watchWorker();
  const { clock, watch, looks, worker, lead } = site;
  worker.answers = false;
  await clock.advance(SEVERAL_LOOKS_MS);
  if (changesLeader) lead(2);
  watch.stopRenewingLease();
  const told = looks.length;
  worker.answers = true;
  await clock.advance(SEVERAL_LOOKS_MS);
  const leasesSince = (): number[] => leasesOf(looks.slice(told));
  return { ...site, leasesSince };
};

test("a worker that answers again just after a new leader received the report gets no lease of the previous leader", async () => {
  const { clock, grant, leasesSince, stop } = await answerOnceTold({
    changesLeader: true,
  });
  expect(leasesSince()).toEqual([]);
  grant();
  await clock.advance(SEVERAL_LOOKS_MS);
  expect(leasesSince().length > 0).toEqual(true);
  await stop();
});

test("a worker that answers again gets no lease until the leader that received the report grants one anew", async () => {
  const { clock, grant, leasesSince, stop } = await answerOnceTold({
    changesLeader: false,
  });
  expect(leasesSince()).toEqual([]);
  grant();
  await clock.advance(SEVERAL_LOOKS_MS);
  expect(leasesSince().length > 0).toEqual(true);
  await stop();
});

test("the lease of an order without an answer counts", async () => {
  const { clock, watch, orders, lead, stop } = await watchWorker();
  const until = clock.monotonic() + LONGEST_MS;
  const leaseUntil = until as unknown as WorkerTime;
  const ordered = orders.start({
    ...START_CALL,
    instance: INSTANCE,
    leaseUntil,
  });
  lead(2);
  expect((watch.stopRenewingLease() ?? 0) >= LONGEST_MS).toEqual(true);
  await stop();
  await ordered;
});

test("a worker that has accepted a higher epoch may have any lease of another process", async () => {
  const { clock, watch, worker, stop } = await watchWorker();
  worker.fences = true;
  await clock.advance(SEVERAL_LOOKS_MS);
  expect((watch.stopRenewingLease() ?? 0) >= LONGEST_MS).toEqual(true);
  await stop();
});
