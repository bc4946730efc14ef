/** When an entry's calls to the store count as failing. */

import { test } from "node:test";
import { expect } from "earl";
import { ManualClock, sleep } from "@rackspan/common";
import { StoreCallMonitor } from "@rackspan/entry";
import {
  FencedError,
  StoreAnswerLostError,
  StoreRefusedError,
  type StoreClient,
} from "@rackspan/ports";
import { TOPICS } from "@rackspan/state";

const setUp = () => {
  const clock = new ManualClock();
  const owners: string[] = [];
  let answer: () => Promise<string> = () => Promise.resolve("a|1|10.0.0.1:1");
  const store = { owner: () => answer() } as unknown as StoreClient;
  const monitor = new StoreCallMonitor({
    store,
    clock,
    onOwner: (member) => owners.push(member),
  });
  const call = async (next: () => Promise<string>): Promise<void> => {
    answer = next;
    await clock.advance(10);
    const called = monitor.owner("leaders", TOPICS.leadership).catch(() => "");
    await clock.advance(10);
    void called;
  };
  const refuse = () => call(() => Promise.reject(new StoreRefusedError("no")));
  const lose = () => call(() => Promise.reject(new StoreAnswerLostError("no")));
  const reply = () => call(() => Promise.resolve("b|1|10.0.0.2:1"));
  const fence = () => call(() => Promise.reject(new FencedError("no")));
  return { clock, monitor, owners, call, refuse, lose, reply, fence };
};

// An idle entry makes no other call for up to 1.5 s, and would pass everything on.
test("one refused call does not count as an outage, a second one does", async () => {
  const { monitor, refuse, reply } = setUp();
  await refuse();
  expect(monitor.failingSince).toEqual(undefined);
  await refuse();
  // The outage began with the first of them.
  expect(monitor.failingSince).toEqual(10);
  await reply();
  expect(monitor.failingSince).toEqual(undefined);
  await refuse();
  expect(monitor.failingSince).toEqual(undefined);
});

test("an answer that was waited for in vain counts as an outage at once", async () => {
  const { monitor, lose, fence } = setUp();
  await lose();
  expect(monitor.failingSince).toEqual(10);
  // The store has rejected the call, so it can be reached.
  await fence();
  expect(monitor.failingSince).toEqual(undefined);
});

test("a long poll of before the outage that is answered late does not end the outage", async () => {
  const { clock, monitor, call, refuse } = setUp();
  await call(() => sleep(clock, 100).then(() => "a|1|10.0.0.1:1"));
  await refuse();
  await refuse();
  await clock.advance(200);
  expect(monitor.failingSince === undefined).toEqual(false);
});

test("the owners of the leadership that the store names are passed on", async () => {
  const { owners, reply } = setUp();
  await reply();
  expect(owners).toEqual(["b|1|10.0.0.2:1"]);
});
