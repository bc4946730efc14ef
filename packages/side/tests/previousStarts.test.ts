/**
 * Unanswered starts are fenced at the worker's next incarnation, which could otherwise carry
 * them out late although the leader has recorded their runs as lost.
 */

import { test } from "node:test";
import { expect } from "earl";
import {
  brand,
  ManualClock,
  sleep,
  type Epoch,
  type RunNumber,
  type WorkerInstance,
  type WorkerTime,
} from "@rackspan/common";
import {
  WorkerReplacedError,
  WorkerSilentError,
  type PollResponse,
  type PollRequest,
  type RunRef,
  type TaskHost,
} from "@rackspan/ports";
import type { StartTaskCall } from "@rackspan/protocol";
import { createHeartbeat } from "./createHeartbeat.js";
import { buildSide } from "./buildSide.js";
import { pollResponseOf } from "./pollResponseOf.js";
import { START_CALL } from "./startCall.js";

const CALL_TIMEOUT_MS = 400;
const LONGEST_LEASE_MS = 10_000;
/** Longer than a start can be delayed. */
const MAX_DELAY_MS = 16_000;
/** Longer than a poll of the previous incarnation and the pause after it take. */
const ONE_POLL_MS = 390;

const orderOf = (instance: string, run: number): StartTaskCall => ({
  ...START_CALL,
  instance: brand<WorkerInstance>(instance),
  run: run as unknown as RunNumber,
});

/** A side with a worker that leaves starts unanswered and records which runs it was ordered to fence. */
const startPoller = async () => {
  const clock = new ManualClock();
  const worker = {
    instance: "w1",
    answersStarts: false,
    /** Runs whose fencing calls get no answer. */
    unansweredFences: new Set<number>(),
    fencedRuns: [] as number[],
  };
  const checkIncarnation = (instance: WorkerInstance): void => {
    if (instance !== brand<WorkerInstance>(worker.instance)) {
      throw new WorkerReplacedError(instance);
    }
  };
  const at = (): WorkerTime => clock.monotonic() as unknown as WorkerTime;
  const timeOut = async (): Promise<never> => {
    await sleep(clock, CALL_TIMEOUT_MS);
    throw new WorkerSilentError("no answer");
  };
  const host = {
    poll: async (
      instance: WorkerInstance,
      { waitMs }: PollRequest,
    ): Promise<PollResponse> => {
      checkIncarnation(instance);
      await sleep(clock, waitMs);
      checkIncarnation(instance);
      return pollResponseOf(at());
    },
    start: async (instance: WorkerInstance) => {
      checkIncarnation(instance);
      if (!worker.answersStarts) return timeOut();
      return { kind: "started", at: at() };
    },
    stop: async (instance: WorkerInstance, { run }: RunRef) => {
      checkIncarnation(instance);
      worker.fencedRuns.push(run);
      return worker.unansweredFences.has(run) ? timeOut() : at();
    },
  } as unknown as TaskHost;
  const { registry, poller, orders, stop } = buildSide({
    host,
    clock,
    registered: [worker.instance],
    longestLeaseMs: LONGEST_LEASE_MS,
  });
  poller.raiseEpoch(1 as unknown as Epoch);
  poller.start();
  await clock.advance(ONE_POLL_MS);
  const order = (run: number): void =>
    void orders.start(orderOf(worker.instance, run));
  const replace = (next: string): void => {
    worker.instance = next;
    registry.recordHeartbeat(createHeartbeat(next));
  };
  return { clock, poller, worker, registry, order, replace, stop };
};

test("a start whose answer is still pending is fenced at the worker's next incarnation", async () => {
  const { clock, poller, worker, order, replace, stop } = await startPoller();
  order(7);
  await clock.advance(1);
  replace("w2");
  await clock.advance(ONE_POLL_MS);
  expect(worker.fencedRuns).toEqual([7]);
  expect(poller.currentStatus?.instance).toEqual(brand<WorkerInstance>("w2"));
  await stop();
});

test("a start that was answered at once is not fenced", async () => {
  const { clock, poller, worker, order, replace, stop } = await startPoller();
  worker.answersStarts = true;
  order(7);
  await clock.advance(1);
  replace("w2");
  await clock.advance(ONE_POLL_MS);
  expect(worker.fencedRuns).toEqual([]);
  expect(poller.currentStatus?.instance).toEqual(brand<WorkerInstance>("w2"));
  await stop();
});

test("a fencing call without an answer does not delay the others", async () => {
  const { clock, worker, order, replace, stop } = await startPoller();
  for (const run of [7, 8, 9]) order(run);
  await clock.advance(CALL_TIMEOUT_MS);
  worker.unansweredFences.add(7);
  replace("w2");
  await clock.advance(ONE_POLL_MS);
  expect([...new Set(worker.fencedRuns)].sort()).toEqual([7, 8, 9]);
  await stop();
});

test("an incarnation is not reported before all fencing calls are answered, and answered ones are not repeated", async () => {
  const { clock, poller, worker, order, replace, stop } = await startPoller();
  for (const run of [7, 8, 9]) order(run);
  await clock.advance(CALL_TIMEOUT_MS);
  worker.unansweredFences.add(8);
  replace("w2");
  await clock.advance(CALL_TIMEOUT_MS + ONE_POLL_MS);
  expect(poller.currentStatus).toEqual(undefined);
  worker.unansweredFences.clear();
  await clock.advance(CALL_TIMEOUT_MS + ONE_POLL_MS);
  expect(poller.currentStatus?.instance).toEqual(brand<WorkerInstance>("w2"));
  expect(worker.fencedRuns.filter((run) => run !== 8).sort()).toEqual([7, 9]);
  await stop();
});

test("a fencing call without an answer is sent again long before it times out", async () => {
  const { clock, poller, worker, order, replace, stop } = await startPoller();
  order(7);
  await clock.advance(CALL_TIMEOUT_MS);
  worker.unansweredFences.add(7);
  replace("w2");
  while (worker.fencedRuns.length === 0) await clock.advance(1);
  worker.unansweredFences.clear();
  await clock.advance(CALL_TIMEOUT_MS / 4);
  expect(worker.fencedRuns).toEqual([7, 7]);
  expect(poller.currentStatus?.instance).toEqual(brand<WorkerInstance>("w2"));
  await stop();
});

test("a start that was fenced at one incarnation is fenced at the next one too", async () => {
  const { clock, worker, order, replace, stop } = await startPoller();
  order(7);
  await clock.advance(CALL_TIMEOUT_MS);
  replace("w2");
  await clock.advance(ONE_POLL_MS);
  replace("w3");
  await clock.advance(ONE_POLL_MS);
  expect(worker.fencedRuns).toEqual([7, 7]);
  await stop();
});

// The clock of the next incarnation may be behind, and a worker accepts the lease of a start
// even if the run is fenced.
test("the lease bound of a silent worker includes the lease of a start sent to its previous incarnation", async () => {
  const { clock, poller, worker, order, replace, stop } = await startPoller();
  await clock.advance(2 * LONGEST_LEASE_MS);
  order(7);
  await clock.advance(CALL_TIMEOUT_MS);
  replace("w2");
  await clock.advance(ONE_POLL_MS);
  expect(poller.currentStatus?.instance).toEqual(brand<WorkerInstance>("w2"));
  worker.instance = "none";
  expect((poller.stopRenewingLease() ?? 0) >= LONGEST_LEASE_MS).toEqual(true);
  await clock.advance(MAX_DELAY_MS + 2 * LONGEST_LEASE_MS);
  expect(poller.stopRenewingLease()).toEqual(0);
  await stop();
});

// A fenced start begins no run, but its lease still counts.
test("the side tracks how long a start to the previous incarnation may still arrive, also once it is fenced", async () => {
  const { clock, registry, order, replace, stop } = await startPoller();
  const [previous, next] = [
    brand<WorkerInstance>("w1"),
    brand<WorkerInstance>("w2"),
  ];
  order(7);
  await clock.advance(CALL_TIMEOUT_MS);
  expect(registry.unansweredStarts.mayArriveForMs(previous)).toEqual(0);
  replace("w2");
  await clock.advance(ONE_POLL_MS);
  expect(registry.unansweredStarts.unfencedAt(next)).toEqual([]);
  expect(registry.unansweredStarts.mayArriveForMs(next) > 12_000).toEqual(true);
  await clock.advance(MAX_DELAY_MS);
  expect(registry.unansweredStarts.mayArriveForMs(next)).toEqual(0);
  await stop();
});
