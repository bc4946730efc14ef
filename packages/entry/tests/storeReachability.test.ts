/** When an entry considers the store unreachable. */

import { test } from "node:test";
import { expect } from "earl";
import { ManualClock } from "@rackspan/common";
import { StoreReachability } from "@rackspan/entry";
import type { TopicWriter, TopicFollower } from "@rackspan/state";

const setUp = () => {
  const clock = new ManualClock();
  const follower = { failing: false, lastAnswerAt: clock.monotonic() };
  const other = { failing: false, lastAnswerAt: clock.monotonic() };
  const writer: { inFlightSince: number | undefined } = {
    inFlightSince: undefined,
  };
  const createReachability = (enabled: boolean) =>
    new StoreReachability({
      followers: [follower, other] as unknown as TopicFollower[],
      writers: [writer as unknown as TopicWriter],
      clock,
      enabled,
    });
  return { clock, follower, other, writer, createReachability };
};

test("an entry whose write stays unanswered, and that receives nothing else, is cut off", async () => {
  const { clock, writer, follower, createReachability } = setUp();
  const reachability = createReachability(true);
  await clock.advance(10);
  writer.inFlightSince = clock.monotonic();
  await clock.advance(500);
  expect(reachability.isReachable).toEqual(true);
  await clock.advance(200);
  expect(reachability.isReachable).toEqual(false);
  // A slow store answers other calls in the meantime.
  follower.lastAnswerAt = clock.monotonic();
  expect(reachability.isReachable).toEqual(true);
});

test("an entry that receives nothing for a long time is cut off, even without writes", async () => {
  const { clock, other, createReachability } = setUp();
  const reachability = createReachability(true);
  await clock.advance(2_900);
  expect(reachability.isReachable).toEqual(true);
  await clock.advance(200);
  expect(reachability.isReachable).toEqual(false);
  other.lastAnswerAt = clock.monotonic();
  expect(reachability.isReachable).toEqual(true);
});

test("the store is unreachable while it refuses every topic, and reachable once one succeeds", () => {
  const { follower, other, createReachability } = setUp();
  const reachability = createReachability(true);
  follower.failing = true;
  expect(reachability.isReachable).toEqual(true);
  other.failing = true;
  expect(reachability.isReachable).toEqual(false);
  other.failing = false;
  expect(reachability.isReachable).toEqual(true);
});

test("the store always counts as reachable if the check is disabled", async () => {
  const { clock, follower, other, createReachability } = setUp();
  const reachability = createReachability(false);
  follower.failing = true;
  other.failing = true;
  await clock.advance(60_000);
  expect(reachability.isReachable).toEqual(true);
});
