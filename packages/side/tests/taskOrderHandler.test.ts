/** What a side makes of the worker's answers to orders. */

import { test } from "node:test";
import { expect } from "earl";
import { ManualClock, type WorkerTime } from "@rackspan/common";
import {
  WorkerReplacedError,
  WorkerSilentError,
  type StartOutcome,
  type StartRefusal,
  type TaskHost,
} from "@rackspan/ports";
import type { HostCallResult } from "@rackspan/protocol";
import { buildSide } from "./buildSide.js";
import { START_CALL } from "./startCall.js";

/**
 * Orders a start at a worker that gives these answers in turn; undefined for none.
 * @param heard lives whose heartbeats came before, in order
 */
const startWith = async (
  answers: readonly (StartOutcome | Error | undefined)[],
  heard: readonly string[] = [],
): Promise<HostCallResult> => {
  const clock = new ManualClock();
  const left = [...answers];
  const host = {
    start: async () => {
      const answer = left.shift();
      if (!answer) throw new WorkerSilentError("no answer");
      if (answer instanceof Error) throw answer;
      return answer;
    },
  } as unknown as TaskHost;
  const { orders } = buildSide({ host, clock, heard });
  const result = orders.start(START_CALL);
  await clock.advance(2_000);
  return result;
};

const refused = (reason: StartRefusal): StartOutcome => ({
  kind: "refused",
  reason,
});

test("a run that is lost while its order is repeated is told as one with an open order", async () => {
  const clock = new ManualClock();
  const host = {
    start: () => Promise.reject(new WorkerSilentError("no answer")),
  } as unknown as TaskHost;
  const { orders, registry } = buildSide({ host, clock, heard: ["w"] });
  const { instance } = START_CALL;
  const result = orders.start(START_CALL);
  await clock.advance(500);
  registry.recordGone(instance, "another life answers");
  const isOpen = () =>
    registry.runs.unreportedLostRuns.map(({ isOrderOpen }) => isOrderOpen);
  expect(isOpen()).toEqual([true]);
  await clock.advance(2_000);
  expect(await result).toEqual({ kind: "silent" });
  expect(isOpen()).toEqual([undefined]);
});

test("a refusal is taken as one when no try before it was left unanswered", async () => {
  expect(await startWith([refused("unhealthy")])).toEqual({
    kind: "refused",
    reason: "unhealthy",
  });
});

test("a refusal that may pass says nothing of an unanswered try before it", async () => {
  for (const reason of ["no-room", "unhealthy", "bad-ticket"] as const) {
    const result = await startWith([undefined, refused(reason)]);
    expect(result).toEqual({ kind: "silent" });
  }
});

// The try without an answer may have been carried out, and its run be over by now.
test("no refusal says that an unanswered try before it was not carried out", async () => {
  for (const reason of ["fenced", "old-run", "late"] as const) {
    const result = await startWith([undefined, refused(reason)]);
    expect(result).toEqual({ kind: "silent" });
  }
});

test("a refusal for good is taken as one when no try before it was left unanswered", async () => {
  for (const reason of ["fenced", "old-run", "late"] as const) {
    const result = await startWith([refused(reason)]);
    expect(result).toEqual({ kind: "refused", reason });
  }
});

// A heartbeat of another writer may name a life that never was.
test("an order to a life that another one's heartbeat displaced is carried out", async () => {
  const at = 5 as unknown as WorkerTime;
  const answer = await startWith([{ kind: "started", at }], ["w", "other"]);
  expect(answer).toEqual({ kind: "ok", at });
});

test("an order to a life that was never heard, beside one that was, is not", async () => {
  const at = 5 as unknown as WorkerTime;
  const answer = await startWith([{ kind: "started", at }], ["other"]);
  expect(answer).toEqual({ kind: "replaced" });
});

// The task may have crashed the life that got the first try.
test("the answer of another life says nothing of an unanswered try before it", async () => {
  const replaced = new WorkerReplacedError(START_CALL.instance);
  expect(await startWith([undefined, replaced])).toEqual({ kind: "silent" });
  expect(await startWith([replaced])).toEqual({ kind: "replaced" });
});

test("a start that found no connection is refused at once", async () => {
  const unsent = new WorkerSilentError("no connection", undefined, false);
  expect(await startWith([unsent])).toEqual({
    kind: "refused",
    reason: "unhealthy",
  });
});

test("a start that found no connection after an unanswered try is unsure", async () => {
  const unsent = new WorkerSilentError("no connection", undefined, false);
  const tries = [undefined, ...Array.from({ length: 40 }, () => unsent)];
  expect(await startWith(tries)).toEqual({ kind: "silent" });
});
