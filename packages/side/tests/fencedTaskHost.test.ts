/**
 * FencedTaskHost makes a worker reject calls that were sent before the first call to its
 * current incarnation: such a call may arrive late and start a run that is recorded as lost.
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
  TaskRefusedError,
  WorkerSilentError,
  type PollResponse,
  type PollRequest,
  type RunStart,
  type StartOutcome,
  type TaskHost,
} from "@rackspan/ports";
import { FencedTaskHost } from "@rackspan/side";
import { START_CALL } from "./startCall.js";

const FIRST = brand<WorkerInstance>("w1");
const NEXT = brand<WorkerInstance>("w2");
const AT = 1 as unknown as WorkerTime;
/** The wall clock goes back by this in one step. */
const HOUR_MS = 3_600_000;
/** Most polls that a side needs until a worker accepts its calls again. */
const MAX_POLLS = 28;

const epochAt = (epoch: number): Epoch => epoch as unknown as Epoch;

/** A fake worker that only fences calls and records the starts that were sent to it. */
class FencingWorker implements TaskHost {
  receivedEpoch = 0;
  isSilent = false;
  readonly sent: RunStart[] = [];

  start(_: WorkerInstance, order: RunStart): Promise<StartOutcome> {
    this.sent.push(order);
    return Promise.resolve(this.carryOut(order));
  }

  /** Carries out the start, at once or seconds later. */
  carryOut({ epoch }: RunStart): StartOutcome {
    if (epoch < this.receivedEpoch)
      return { kind: "refused", reason: "fenced" };
    this.receivedEpoch = epoch;
    return { kind: "started", at: AT };
  }

  async stop(_: WorkerInstance, __: unknown, epoch: Epoch) {
    return this.accept(epoch, AT);
  }

  async poll(_: WorkerInstance, { epoch }: PollRequest): Promise<PollResponse> {
    const answer = { at: AT, running: [], ended: [], hasMoreEnds: false };
    if (this.isSilent) throw new WorkerSilentError("no answer");
    return this.accept(epoch, answer);
  }

  async pace(_: WorkerInstance, { epoch }: { readonly epoch: Epoch }) {
    return this.accept(epoch, undefined);
  }

  /** Begins the next incarnation, which has received no epoch. */
  restart(): void {
    this.receivedEpoch = 0;
  }

  private async accept<T>(epoch: Epoch, answer: T): Promise<T> {
    await Promise.resolve();
    if (epoch < this.receivedEpoch)
      throw new TaskRefusedError("a higher one", true);
    this.receivedEpoch = epoch;
    return answer;
  }
}

const build = () => {
  const clock = new ManualClock();
  const worker = new FencingWorker();
  const host = new FencedTaskHost({ host: worker, clock });
  const poll = (
    instance: WorkerInstance,
    epoch = 1,
    at = host,
  ): Promise<PollResponse> =>
    at.poll(instance, { epoch: epochAt(epoch), acknowledged: 0, waitMs: 0 });
  const start = (instance: WorkerInstance, epoch = 1): Promise<StartOutcome> =>
    host.start(instance, { ...START_CALL, epoch: epochAt(epoch) });
  return { clock, worker, host, poll, start };
};

const isAccepted = (poll: Promise<unknown>): Promise<boolean> =>
  poll.then(
    () => true,
    () => false,
  );

const carryOutLast = (worker: FencingWorker): StartOutcome =>
  worker.carryOut(worker.sent.at(-1) as RunStart);

test("a start that an incarnation left unanswered is rejected after the first call to the next one", async () => {
  const { worker, poll, start } = build();
  await poll(FIRST);
  await start(FIRST);
  worker.restart();
  await poll(NEXT);
  expect(carryOutLast(worker)).toEqual({ kind: "refused", reason: "fenced" });
});

test("a start that a side sent before its restart is rejected after its first call", async () => {
  const { clock, worker, poll, start } = build();
  await poll(FIRST);
  await start(FIRST);
  worker.restart();
  await clock.advance(100);
  await poll(NEXT, 1, new FencedTaskHost({ host: worker, clock }));
  expect(carryOutLast(worker)).toEqual({ kind: "refused", reason: "fenced" });
});

test("a start is rejected by the next incarnation when a call for the previous one reaches it first", async () => {
  const { worker, poll, start } = build();
  await poll(FIRST);
  await start(FIRST);
  worker.isSilent = true;
  await expect(poll(FIRST)).toBeRejectedWith(WorkerSilentError);
  worker.isSilent = false;
  worker.restart();
  await poll(FIRST);
  expect(carryOutLast(worker)).toEqual({ kind: "refused", reason: "fenced" });
});

test("starts are sent under the sub-epoch with which their incarnation was polled", async () => {
  const { clock, poll, start } = build();
  await poll(FIRST);
  await clock.advance(HOUR_MS);
  await poll(NEXT);
  expect((await start(NEXT)).kind).toEqual("started");
  expect((await start(FIRST)).kind).toEqual("refused");
});

test("the worker accepts a side whose wall clock is behind that of the previous process", async () => {
  const { clock, worker, poll } = build();
  await poll(FIRST);
  const behind = new ManualClock(clock.now() - HOUR_MS);
  const next = new FencedTaskHost({ host: worker, clock: behind });
  let polls = 1;
  while (!(await isAccepted(poll(FIRST, 1, next)))) polls += 1;
  expect(polls <= MAX_POLLS).toEqual(true);
  await poll(FIRST, 1, next);
});

test("a side is accepted again by an incarnation that was polled under the sub-epoch of a later one", async () => {
  const { poll, start } = build();
  await poll(FIRST);
  await poll(NEXT);
  await poll(FIRST);
  expect((await start(FIRST)).kind).toEqual("started");
});

test("no sub-epoch of an epoch exceeds a later epoch", async () => {
  const { worker, poll } = build();
  await poll(FIRST, 2);
  for (let polls = 0; polls < MAX_POLLS; polls += 1) {
    await expect(poll(FIRST, 1)).toBeRejectedWith(TaskRefusedError);
  }
  expect(worker.receivedEpoch >= 2 * 2 ** 28).toEqual(true);
  await poll(FIRST, 3);
});
