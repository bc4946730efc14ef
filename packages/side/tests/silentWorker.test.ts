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
const SEVERAL_POLLS_MS = 2_000;

interface Poll {
  readonly sentAt: number;
  readonly leaseUntil: number | undefined;
}

/** A side with a worker whose clock equals the side's, with a lease under epoch 1. */
const startPoller = async () => {
  const clock = new ManualClock();
  const polls: Poll[] = [];
  const worker = { answers: true, fences: false };
  const workerTime = (): WorkerTime =>
    clock.monotonic() as unknown as WorkerTime;
  const host = {
    poll: async (
      _: WorkerInstance,
      { leaseUntil, waitMs }: PollRequest,
    ): Promise<PollResponse> => {
      polls.push({ sentAt: clock.monotonic(), leaseUntil });
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
  const { poller, orders, stop } = buildSide({
    host,
    clock,
    registered: [INSTANCE],
    unattendedLeaseMs: UNATTENDED_MS,
    longestLeaseMs: LONGEST_MS,
  });
  const lead = (epoch: number): void =>
    poller.raiseEpoch(epoch as unknown as Epoch);
  const grant = (): void =>
    poller.grant(
      INSTANCE,
      (clock.monotonic() + LONGEST_MS) as unknown as WorkerTime,
    );
  lead(1);
  poller.start();
  // Leases of a previous process are over by then.
  await clock.advance(2 * LONGEST_MS);
  grant();
  await clock.advance(1_000);
  return { clock, poller, orders, polls, worker, lead, grant, stop };
};

const leasesOf = (polls: readonly Poll[]): number[] =>
  polls.flatMap(({ leaseUntil }) => leaseUntil ?? []);

test("a silent worker's lease is not renewed until it answers again", async () => {
  const { clock, polls, worker, stop } = await startPoller();
  worker.answers = false;
  await clock.advance(SEVERAL_POLLS_MS);
  const before = polls.length;
  await clock.advance(SEVERAL_POLLS_MS);
  expect(polls.length > before).toEqual(true);
  expect(leasesOf(polls.slice(before))).toEqual([]);
  worker.answers = true;
  await clock.advance(SEVERAL_POLLS_MS);
  expect(leasesOf(polls.slice(before)).length > 0).toEqual(true);
  await stop();
});

test("no lease that was sent lasts longer than the bound reported to a leader", async () => {
  const { clock, poller, polls, worker, lead, stop } = await startPoller();
  worker.answers = false;
  await clock.advance(SEVERAL_POLLS_MS);
  lead(2);
  const overInMs = poller.stopRenewingLease() ?? 0;
  const overBy = clock.monotonic() + overInMs;
  const now = clock.monotonic();
  const lastMs = Math.max(...leasesOf(polls)) - now;
  expect(overInMs >= lastMs * (1 + LEASE.workerClockDrift)).toEqual(true);
  expect(overInMs <= UNATTENDED_MS * 1.1).toEqual(true);
  await clock.advance(SEVERAL_POLLS_MS);
  expect(
    clock.monotonic() + (poller.stopRenewingLease() ?? 0) <= overBy,
  ).toEqual(true);
  await stop();
});

/** The worker answers again just after its silence was reported to the leader. */
const answerAfterReport = async ({
  changesLeader,
}: {
  changesLeader: boolean;
}) => {
  const site = await startPoller();
  const { clock, poller, polls, worker, lead } = site;
  worker.answers = false;
  await clock.advance(SEVERAL_POLLS_MS);
  if (changesLeader) lead(2);
  poller.stopRenewingLease();
  const reportedAt = polls.length;
  worker.answers = true;
  await clock.advance(SEVERAL_POLLS_MS);
  const leasesSince = (): number[] => leasesOf(polls.slice(reportedAt));
  return { ...site, leasesSince };
};

test("a worker that answers again just after a new leader received the report gets no lease of the previous leader", async () => {
  const { clock, grant, leasesSince, stop } = await answerAfterReport({
    changesLeader: true,
  });
  expect(leasesSince()).toEqual([]);
  grant();
  await clock.advance(SEVERAL_POLLS_MS);
  expect(leasesSince().length > 0).toEqual(true);
  await stop();
});

test("a worker that answers again gets no lease until the leader that received the report grants one anew", async () => {
  const { clock, grant, leasesSince, stop } = await answerAfterReport({
    changesLeader: false,
  });
  expect(leasesSince()).toEqual([]);
  grant();
  await clock.advance(SEVERAL_POLLS_MS);
  expect(leasesSince().length > 0).toEqual(true);
  await stop();
});

test("the lease of an order without an answer counts", async () => {
  const { clock, poller, orders, lead, stop } = await startPoller();
  const until = clock.monotonic() + LONGEST_MS;
  const leaseUntil = until as unknown as WorkerTime;
  const ordered = orders.start({
    ...START_CALL,
    instance: INSTANCE,
    leaseUntil,
  });
  lead(2);
  expect((poller.stopRenewingLease() ?? 0) >= LONGEST_MS).toEqual(true);
  await stop();
  await ordered;
});

test("a worker that has accepted a higher epoch may have any lease of another process", async () => {
  const { clock, poller, worker, stop } = await startPoller();
  worker.fences = true;
  await clock.advance(SEVERAL_POLLS_MS);
  expect((poller.stopRenewingLease() ?? 0) >= LONGEST_MS).toEqual(true);
  await stop();
});
