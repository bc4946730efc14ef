/** How a side derives the result of an order from the worker's answers. */

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
 * Orders a start from a worker that gives these answers in turn; undefined stands for no answer.
 * @param registered incarnations whose heartbeats arrived before, in order
 */
const startWith = async (
  answers: readonly (StartOutcome | Error | undefined)[],
  registered: readonly string[] = [],
): Promise<HostCallResult> => {
  const clock = new ManualClock();
  const remaining = [...answers];
  const host = {
    start: async () => {
      const answer = remaining.shift();
      if (!answer) throw new WorkerSilentError("no answer");
      if (answer instanceof Error) throw answer;
      return answer;
    },
  } as unknown as TaskHost;
  const { orders } = buildSide({ host, clock, registered });
  const result = orders.start(START_CALL);
  await clock.advance(2_000);
  return result;
};

const refused = (reason: StartRefusal): StartOutcome => ({
  kind: "refused",
  reason,
});

test("a run that is lost while its order is repeated is reported with an open order", async () => {
  const clock = new ManualClock();
  const host = {
    start: () => Promise.reject(new WorkerSilentError("no answer")),
  } as unknown as TaskHost;
  const { orders, registry } = buildSide({ host, clock, registered: ["w"] });
  const { instance } = START_CALL;
  const result = orders.start(START_CALL);
  await clock.advance(500);
  registry.recordGone(instance, "another incarnation answers");
  const isOpen = () =>
    registry.runs.unreportedLostRuns.map(({ isOrderOpen }) => isOrderOpen);
  expect(isOpen()).toEqual([true]);
  await clock.advance(2_000);
  expect(await result).toEqual({ kind: "silent" });
  expect(isOpen()).toEqual([undefined]);
});

test("a refusal is reported when no earlier try was left unanswered", async () => {
  expect(await startWith([refused("unhealthy")])).toEqual({
    kind: "refused",
    reason: "unhealthy",
  });
});

test("a temporary refusal does not cover an earlier unanswered try", async () => {
  for (const reason of ["no-room", "unhealthy", "bad-ticket"] as const) {
    const result = await startWith([undefined, refused(reason)]);
    expect(result).toEqual({ kind: "silent" });
  }
});

// The try without an answer may have been carried out, with its run over by now.
test("a permanent refusal does not cover an earlier unanswered try", async () => {
  for (const reason of ["fenced", "old-run", "late"] as const) {
    const result = await startWith([undefined, refused(reason)]);
    expect(result).toEqual({ kind: "silent" });
  }
});

test("a permanent refusal is reported when no earlier try was left unanswered", async () => {
  for (const reason of ["fenced", "old-run", "late"] as const) {
    const result = await startWith([refused(reason)]);
    expect(result).toEqual({ kind: "refused", reason });
  }
});

// A heartbeat of another writer may name an incarnation that never existed.
test("an order to an incarnation that another one's heartbeat displaced is carried out", async () => {
  const at = 5 as unknown as WorkerTime;
  const answer = await startWith([{ kind: "started", at }], ["w", "other"]);
  expect(answer).toEqual({ kind: "ok", at });
});

test("an order to an unregistered incarnation is not carried out while another one is registered", async () => {
  const at = 5 as unknown as WorkerTime;
  const answer = await startWith([{ kind: "started", at }], ["other"]);
  expect(answer).toEqual({ kind: "replaced" });
});

// The task may have crashed the incarnation that received the first try.
test("the answer of another incarnation does not cover an earlier unanswered try", async () => {
  const replaced = new WorkerReplacedError(START_CALL.instance);
  expect(await startWith([undefined, replaced])).toEqual({ kind: "silent" });
  expect(await startWith([replaced])).toEqual({ kind: "replaced" });
});

test("a start without a connection is refused at once", async () => {
  const unsent = new WorkerSilentError("no connection", undefined, false);
  expect(await startWith([unsent])).toEqual({
    kind: "refused",
    reason: "unhealthy",
  });
});

test("a start without a connection after an unanswered try has an unknown result", async () => {
  const unsent = new WorkerSilentError("no connection", undefined, false);
  const tries = [undefined, ...Array.from({ length: 40 }, () => unsent)];
  expect(await startWith(tries)).toEqual({ kind: "silent" });
});
