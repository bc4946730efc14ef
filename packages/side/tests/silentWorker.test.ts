/** What lease a worker is sent while it is silent, and once it answers again. */

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
/** A look without an answer is given up after this. */
const TIMEOUT_MS = 650;
/** Longer than a look and the pause after it take. */
const SEVERAL_LOOKS_MS = 2_000;

interface Look {
  readonly sentAt: number;
  readonly leaseUntil: number | undefined;
}

/** A worker whose clock shows what the side's does, with a lease under epoch 1. */
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
  // What a process before this one may have sent is over by then.
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

test("no lease that was sent lasts longer than a leader is told", async () => {
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

/** The worker answers again just after its leader was told that it is silent. */
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

test("a worker that answers again just after a leader was told gets no lease of a former one", async () => {
  const { clock, grant, leasesSince, stop } = await answerOnceTold({
    changesLeader: true,
  });
  expect(leasesSince()).toEqual([]);
  grant();
  await clock.advance(SEVERAL_LOOKS_MS);
  expect(leasesSince().length > 0).toEqual(true);
  await stop();
});

test("a worker that answers again gets no lease of the leader that was told before that one grants anew", async () => {
  const { clock, grant, leasesSince, stop } = await answerOnceTold({
    changesLeader: false,
  });
  expect(leasesSince()).toEqual([]);
  grant();
  await clock.advance(SEVERAL_LOOKS_MS);
  expect(leasesSince().length > 0).toEqual(true);
  await stop();
});

test("an order that got no answer counts with the lease that it carries", async () => {
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

test("a worker that obeys a higher epoch may have any lease of another process", async () => {
  const { clock, watch, worker, stop } = await watchWorker();
  worker.fences = true;
  await clock.advance(SEVERAL_LOOKS_MS);
  expect((watch.stopRenewingLease() ?? 0) >= LONGEST_MS).toEqual(true);
  await stop();
});
