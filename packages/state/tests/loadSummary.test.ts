/** Records of the load summary, and their age at the entries. */

import { test } from "node:test";
import { expect } from "earl";
import { brand, ManualClock, Metrics, silentLogger } from "@rackspan/common";
import {
  decodeLoadSummary,
  decodeProgress,
  encodeLoadSummary,
  encodeProgress,
  encodeTerm,
  JobView,
  LoadSummaryView,
  PROGRESS_KEYS,
  type LoadSummary,
} from "@rackspan/state";

const summaryOf = (epoch: number, writtenAt: number): LoadSummary => ({
  epoch,
  writtenAt,
  services: [
    {
      service: brand("kaigi"),
      priorities: [
        {
          priority: 2,
          plain: { freeMilliCores: 10, largestMilliCores: 10 },
          filling: { freeMilliCores: 0, largestMilliCores: 0 },
          pending: [[-37, 1_000]],
          ratePerMs: 12.5,
          isSaturated: true,
        },
      ],
    },
  ],
  queues: [{ queue: brand("q"), runTimeRatio: 1.7, meanWork: 300_000 }],
});

const recordOf = (epoch: number, writtenAt: number) => ({
  key: PROGRESS_KEYS.load,
  value: encodeLoadSummary(summaryOf(epoch, writtenAt)),
});

test("a summary is unchanged after encoding and decoding, and former versions can read it as progress", () => {
  const { key, value } = recordOf(3, 1_000);
  expect(decodeLoadSummary(key, value)).toEqual(summaryOf(3, 1_000));
  // Former versions log each record of the topic that they cannot read.
  expect(decodeProgress(key, value).state).toEqual("completed");
});

test("the view of jobs takes no reserved key for a job", async () => {
  const metrics = new Metrics();
  const view = new JobView({ logger: silentLogger, metrics });
  const { key, value } = recordOf(1, 0);
  const term = { key: PROGRESS_KEYS.term, value: encodeTerm({ epoch: 1 }) };
  const job = {
    key: "00000000000000aa",
    value: encodeProgress({
      state: "running",
      begun: true,
      endedAt: 0,
      done: {},
      failures: [],
      checkpoints: [],
      crashes: [],
      announced: [],
    }),
  };
  view.applyProgressRecords([{ key, value }, term, job]);
  expect(view.all()).toEqual([]);
  expect(view.stateOf(brand(PROGRESS_KEYS.load))).toEqual(undefined);
  expect(await metrics.total("records_passed_over")).toEqual(0);
});

const setUp = () => {
  const clock = new ManualClock();
  let arrived = 0;
  const view = new LoadSummaryView({
    clock,
    logger: silentLogger,
    onSummary: () => void (arrived += 1),
  });
  /** @param leaderClock what the leader's clock shows */
  const apply = (epoch: number, leaderClock: number): void =>
    view.applyProgressRecords([recordOf(epoch, leaderClock)]);
  const ageMs = (): number | undefined => view.current?.ageMs;
  return { clock, view, apply, ageMs, arrivals: () => arrived };
};

test("a summary that was stored before the entry started is of any age and is not used", async () => {
  const { clock, apply, ageMs } = setUp();
  apply(1, 0);
  expect(ageMs()).toEqual(undefined);
  await clock.advance(500);
  apply(1, 500);
  expect(ageMs()).toEqual(0);
});

// Guards against trusting an old page of the topic that contains two summaries.
test("two summaries of one read do not confirm an epoch", async () => {
  const { clock, view, apply, ageMs } = setUp();
  view.applyProgressRecords([recordOf(1, 0), recordOf(1, 500)]);
  expect(ageMs()).toEqual(undefined);
  await clock.advance(500);
  apply(1, 1_000);
  expect(ageMs()).toEqual(0);
});

// Guards against summaries that look old for the rest of the epoch.
test("a leader's clock that is set back or drifts makes summaries look old for 20 summaries at most", async () => {
  const { clock, apply, ageMs } = setUp();
  const publish = async (leaderOffsetMs: number): Promise<void> => {
    await clock.advance(500);
    apply(1, clock.monotonic() + leaderOffsetMs);
  };
  for (let n = 0; n < 3; n += 1) await publish(0);
  await publish(-60_000);
  expect(ageMs()).toEqual(60_000);
  for (let n = 0; n < 19; n += 1) await publish(-60_000);
  expect(ageMs()).toEqual(0);
  // The clock loses 5 ms a second.
  for (let n = 0; n < 2_000; n += 1) await publish(-60_000 - 2.5 * n);
  expect((ageMs() ?? Infinity) <= 50).toEqual(true);
});

test("the age counts from the arrival, whatever the leader's clock shows", async () => {
  for (const skewMs of [-3_600_000, 0, 3_600_000]) {
    const { clock, apply, ageMs } = setUp();
    const leaderClock = (): number => clock.monotonic() + skewMs;
    apply(1, leaderClock());
    await clock.advance(500);
    apply(1, leaderClock());
    expect(ageMs()).toEqual(0);
    // The leader is lost: no other summary follows.
    await clock.advance(2_100);
    expect(ageMs()).toEqual(2_100);
  }
});

test("a summary that was delayed is older by its delay", async () => {
  const { clock, apply, ageMs } = setUp();
  apply(1, 0);
  await clock.advance(500);
  apply(1, 500);
  // The entry is cut off for a minute, in which the leader writes a last summary.
  await clock.advance(60_000);
  apply(1, 1_000);
  expect(ageMs()).toEqual(59_500);
});

test("a summary that is read again does not become newer", async () => {
  const { clock, apply, ageMs, arrivals } = setUp();
  apply(1, 0);
  apply(1, 500);
  await clock.advance(3_000);
  apply(1, 500);
  expect(ageMs()).toEqual(3_000);
  expect(arrivals()).toEqual(2);
});

test("a summary of a former epoch is not used", async () => {
  const { clock, apply, ageMs, view } = setUp();
  apply(2, 0);
  await clock.advance(500);
  apply(2, 500);
  apply(1, 600);
  expect(view.current?.summary.epoch).toEqual(2);
  // The first summary of the next leader may be of any age, and replaces the former one.
  apply(3, 600);
  expect(ageMs()).toEqual(undefined);
});

test("a summary that cannot be read replaces the one before", () => {
  const { apply, ageMs, view } = setUp();
  apply(1, 0);
  apply(1, 500);
  const value = Buffer.from('{"load":{"epoch":1}}');
  view.applyProgressRecords([{ key: PROGRESS_KEYS.load, value }]);
  expect(ageMs()).toEqual(undefined);
});
