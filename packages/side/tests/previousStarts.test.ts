/** How starts without an answer are barred at the worker's next life. */

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
/** Longer than a start may come late. */
const LATEST_MS = 16_000;
/** Longer than a look at the former life and the pause after it take. */
const SOON_MS = 390;

const orderOf = (instance: string, run: number): StartTaskCall => ({
  ...START_CALL,
  instance: brand<WorkerInstance>(instance),
  run: run as unknown as RunNumber,
});

/** A worker that leaves starts without an answer, and what it was told to bar. */
const watchWorker = async () => {
  const clock = new ManualClock();
  const worker = {
    life: "w1",
    answersStarts: false,
    /** Runs whose bars get no answer. */
    silentBars: new Set<number>(),
    bars: [] as number[],
  };
  const reach = (instance: WorkerInstance): void => {
    if (instance !== brand<WorkerInstance>(worker.life)) {
      throw new WorkerReplacedError(instance);
    }
  };
  const at = (): WorkerTime => clock.monotonic() as unknown as WorkerTime;
  const fallSilent = async (): Promise<never> => {
    await sleep(clock, CALL_TIMEOUT_MS);
    throw new WorkerSilentError("no answer");
  };
  const host = {
    poll: async (
      instance: WorkerInstance,
      { waitMs }: PollRequest,
    ): Promise<PollResponse> => {
      reach(instance);
      await sleep(clock, waitMs);
      reach(instance);
      return pollResponseOf(at());
    },
    start: async (instance: WorkerInstance) => {
      reach(instance);
      if (!worker.answersStarts) return fallSilent();
      return { kind: "started", at: at() };
    },
    stop: async (instance: WorkerInstance, { run }: RunRef) => {
      reach(instance);
      worker.bars.push(run);
      return worker.silentBars.has(run) ? fallSilent() : at();
    },
  } as unknown as TaskHost;
  const { registry, watch, orders, stop } = buildSide({
    host,
    clock,
    heard: [worker.life],
    longestLeaseMs: LONGEST_LEASE_MS,
  });
  watch.raiseEpoch(1 as unknown as Epoch);
  watch.start();
  await clock.advance(SOON_MS);
  const order = (run: number): void =>
    void orders.start(orderOf(worker.life, run));
  const replace = (life: string): void => {
    worker.life = life;
    registry.recordHeartbeat(createHeartbeat(life));
  };
  return { clock, watch, worker, registry, order, replace, stop };
};

test("a start whose answer is still awaited is barred at the worker's next life", async () => {
  const { clock, watch, worker, order, replace, stop } = await watchWorker();
  order(7);
  await clock.advance(1);
  replace("w2");
  await clock.advance(SOON_MS);
  expect(worker.bars).toEqual([7]);
  expect(watch.currentStatus?.instance).toEqual(brand<WorkerInstance>("w2"));
  await stop();
});

test("a start that was answered at once is barred nowhere", async () => {
  const { clock, watch, worker, order, replace, stop } = await watchWorker();
  worker.answersStarts = true;
  order(7);
  await clock.advance(1);
  replace("w2");
  await clock.advance(SOON_MS);
  expect(worker.bars).toEqual([]);
  expect(watch.currentStatus?.instance).toEqual(brand<WorkerInstance>("w2"));
  await stop();
});

test("a bar without an answer holds up none of the others", async () => {
  const { clock, worker, order, replace, stop } = await watchWorker();
  for (const run of [7, 8, 9]) order(run);
  await clock.advance(CALL_TIMEOUT_MS);
  worker.silentBars.add(7);
  replace("w2");
  await clock.advance(SOON_MS);
  expect([...new Set(worker.bars)].sort()).toEqual([7, 8, 9]);
  await stop();
});

test("a life is not reported before each bar is answered, and none is sent twice", async () => {
  const { clock, watch, worker, order, replace, stop } = await watchWorker();
  for (const run of [7, 8, 9]) order(run);
  await clock.advance(CALL_TIMEOUT_MS);
  worker.silentBars.add(8);
  replace("w2");
  await clock.advance(CALL_TIMEOUT_MS + SOON_MS);
  expect(watch.currentStatus).toEqual(undefined);
  worker.silentBars.clear();
  await clock.advance(CALL_TIMEOUT_MS + SOON_MS);
  expect(watch.currentStatus?.instance).toEqual(brand<WorkerInstance>("w2"));
  expect(worker.bars.filter((run) => run !== 8).sort()).toEqual([7, 9]);
  await stop();
});

test("a bar without an answer is sent again long before its time is over", async () => {
  const { clock, watch, worker, order, replace, stop } = await watchWorker();
  order(7);
  await clock.advance(CALL_TIMEOUT_MS);
  worker.silentBars.add(7);
  replace("w2");
  while (worker.bars.length === 0) await clock.advance(1);
  worker.silentBars.clear();
  await clock.advance(CALL_TIMEOUT_MS / 4);
  expect(worker.bars).toEqual([7, 7]);
  expect(watch.currentStatus?.instance).toEqual(brand<WorkerInstance>("w2"));
  await stop();
});

test("what one life has barred is barred at the next one too", async () => {
  const { clock, worker, order, replace, stop } = await watchWorker();
  order(7);
  await clock.advance(CALL_TIMEOUT_MS);
  replace("w2");
  await clock.advance(SOON_MS);
  replace("w3");
  await clock.advance(SOON_MS);
  expect(worker.bars).toEqual([7, 7]);
  await stop();
});

// The clock of the next life may show less, and a worker takes the lease of a start
// also where it bars the run.
test("a silent worker's bound counts the lease that a start to the life before may bring", async () => {
  const { clock, watch, worker, order, replace, stop } = await watchWorker();
  await clock.advance(2 * LONGEST_LEASE_MS);
  order(7);
  await clock.advance(CALL_TIMEOUT_MS);
  replace("w2");
  await clock.advance(SOON_MS);
  expect(watch.currentStatus?.instance).toEqual(brand<WorkerInstance>("w2"));
  worker.life = "none";
  expect((watch.stopRenewingLease() ?? 0) >= LONGEST_LEASE_MS).toEqual(true);
  await clock.advance(LATEST_MS + 2 * LONGEST_LEASE_MS);
  expect(watch.stopRenewingLease()).toEqual(0);
  await stop();
});

// A barred start begins nothing, and its lease counts all the same.
test("it is told for how long a start to the life before may yet be carried out, also once it is barred", async () => {
  const { clock, registry, order, replace, stop } = await watchWorker();
  const [former, next] = [
    brand<WorkerInstance>("w1"),
    brand<WorkerInstance>("w2"),
  ];
  order(7);
  await clock.advance(CALL_TIMEOUT_MS);
  expect(registry.unansweredStarts.mayArriveForMs(former)).toEqual(0);
  replace("w2");
  await clock.advance(SOON_MS);
  expect(registry.unansweredStarts.unfencedAt(next)).toEqual([]);
  expect(registry.unansweredStarts.mayArriveForMs(next) > 12_000).toEqual(true);
  await clock.advance(LATEST_MS);
  expect(registry.unansweredStarts.mayArriveForMs(next)).toEqual(0);
  await stop();
});
