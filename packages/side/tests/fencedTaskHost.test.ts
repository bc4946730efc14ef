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
const MOST_LOOKS = 28;

const epochAt = (epoch: number): Epoch => epoch as unknown as Epoch;

/** A fake worker that only fences calls and records the starts that were sent to it. */
class FencingWorker implements TaskHost {
  heard = 0;
  isSilent = false;
  readonly sent: RunStart[] = [];

  start(_: WorkerInstance, order: RunStart): Promise<StartOutcome> {
    this.sent.push(order);
    return Promise.resolve(this.carryOut(order));
  }

  /** Carries out the start, at once or seconds later. */
  carryOut({ epoch }: RunStart): StartOutcome {
    if (epoch < this.heard) return { kind: "refused", reason: "fenced" };
    this.heard = epoch;
    return { kind: "started", at: AT };
  }

  async stop(_: WorkerInstance, __: unknown, epoch: Epoch) {
    return this.obey(epoch, AT);
  }

  async poll(_: WorkerInstance, { epoch }: PollRequest): Promise<PollResponse> {
    const answer = { at: AT, running: [], ended: [], hasMoreEnds: false };
    if (this.isSilent) throw new WorkerSilentError("no answer");
    return this.obey(epoch, answer);
  }

  async pace(_: WorkerInstance, { epoch }: { readonly epoch: Epoch }) {
    return this.obey(epoch, undefined);
  }

  /** Begins the next incarnation, which has received no epoch. */
  startAgain(): void {
    this.heard = 0;
  }

  private async obey<T>(epoch: Epoch, answer: T): Promise<T> {
    await Promise.resolve();
    if (epoch < this.heard) throw new TaskRefusedError("a higher one", true);
    this.heard = epoch;
    return answer;
  }
}

const build = () => {
  const clock = new ManualClock();
  const worker = new FencingWorker();
  const host = new FencedTaskHost({ host: worker, clock });
  const look = (
    instance: WorkerInstance,
    epoch = 1,
    at = host,
  ): Promise<PollResponse> =>
    at.poll(instance, { epoch: epochAt(epoch), acknowledged: 0, waitMs: 0 });
  const start = (instance: WorkerInstance, epoch = 1): Promise<StartOutcome> =>
    host.start(instance, { ...START_CALL, epoch: epochAt(epoch) });
  return { clock, worker, host, look, start };
};

const isTaken = (look: Promise<unknown>): Promise<boolean> =>
  look.then(
    () => true,
    () => false,
  );

const carryOutLast = (worker: FencingWorker): StartOutcome =>
  worker.carryOut(worker.sent.at(-1) as RunStart);

test("a start that an incarnation left unanswered is rejected after the first call to the next one", async () => {
  const { worker, look, start } = build();
  await look(FIRST);
  await start(FIRST);
  worker.startAgain();
  await look(NEXT);
  expect(carryOutLast(worker)).toEqual({ kind: "refused", reason: "fenced" });
});

test("a start that a side sent before its restart is rejected after its first call", async () => {
  const { clock, worker, look, start } = build();
  await look(FIRST);
  await start(FIRST);
  worker.startAgain();
  await clock.advance(100);
  await look(NEXT, 1, new FencedTaskHost({ host: worker, clock }));
  expect(carryOutLast(worker)).toEqual({ kind: "refused", reason: "fenced" });
});

test("a start is rejected by the next incarnation when a call for the previous one reaches it first", async () => {
  const { worker, look, start } = build();
  await look(FIRST);
  await start(FIRST);
  worker.isSilent = true;
  await expect(look(FIRST)).toBeRejectedWith(WorkerSilentError);
  worker.isSilent = false;
  worker.startAgain();
  await look(FIRST);
  expect(carryOutLast(worker)).toEqual({ kind: "refused", reason: "fenced" });
});

test("starts are sent under the sub-epoch with which their incarnation was polled", async () => {
  const { clock, look, start } = build();
  await look(FIRST);
  await clock.advance(HOUR_MS);
  await look(NEXT);
  expect((await start(NEXT)).kind).toEqual("started");
  expect((await start(FIRST)).kind).toEqual("refused");
});

test("the worker accepts a side whose wall clock is behind that of the previous process", async () => {
  const { clock, worker, look } = build();
  await look(FIRST);
  const behind = new ManualClock(clock.now() - HOUR_MS);
  const next = new FencedTaskHost({ host: worker, clock: behind });
  let looks = 1;
  while (!(await isTaken(look(FIRST, 1, next)))) looks += 1;
  expect(looks <= MOST_LOOKS).toEqual(true);
  await look(FIRST, 1, next);
});

test("a side is accepted again by an incarnation that was polled under the sub-epoch of a later one", async () => {
  const { look, start } = build();
  await look(FIRST);
  await look(NEXT);
  await look(FIRST);
  expect((await start(FIRST)).kind).toEqual("started");
});

test("no sub-epoch of an epoch exceeds a later epoch", async () => {
  const { worker, look } = build();
  await look(FIRST, 2);
  for (let looks = 0; looks < MOST_LOOKS; looks += 1) {
    await expect(look(FIRST, 1)).toBeRejectedWith(TaskRefusedError);
  }
  expect(worker.heard >= 2 * 2 ** 28).toEqual(true);
  await look(FIRST, 3);
});
