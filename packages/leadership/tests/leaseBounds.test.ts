import { test } from "node:test";
import { expect } from "earl";
import {
  LEASE,
  latestLeaseExpiry,
  maxUnattendedLeaseMs,
} from "@rackspan/leadership";

const BOUNDS = {
  minMs: 3_000,
  outOfTouchMs: 3_000,
  cancelMs: 3_000,
  stopMs: 400,
  lastingGapMs: undefined,
};
/** Users want a lasting task to have a run again within this. */
const LASTING_GAP_MS = 6_000;
/** A side is away for 3 s; its next process starts, attaches and hears a grant meanwhile. */
const AWAY_AND_BACK_MS = 3_000 + 1_500;

test("a worker whose side is gone ends its tasks within the time for cancelled ones", () => {
  const leaseMs = maxUnattendedLeaseMs(BOUNDS);
  const latestEnd = leaseMs * (1 + LEASE.workerClockDrift);
  expect(latestEnd <= 3_000 + 3_000 + 400).toEqual(true);
  expect(leaseMs > 6_000).toEqual(true);
});

test("a lease outlasts a side that is started anew", () => {
  const short = { ...BOUNDS, outOfTouchMs: 100, cancelMs: 100 };
  expect(maxUnattendedLeaseMs(short)).toEqual(3_000);
});

test("a lasting task of a silent worker begins elsewhere before it is missed", () => {
  const bounds = { ...BOUNDS, lastingGapMs: LASTING_GAP_MS };
  const overBy = latestLeaseExpiry(0, maxUnattendedLeaseMs(bounds));
  expect(overBy + LEASE.replacementDelayMs <= LASTING_GAP_MS).toEqual(true);
});

test("a side that is back soon finds its tasks, however short the time without a run", () => {
  const bounds = { ...BOUNDS, lastingGapMs: LASTING_GAP_MS };
  expect(maxUnattendedLeaseMs(bounds) >= AWAY_AND_BACK_MS).toEqual(true);
  const short = { ...BOUNDS, lastingGapMs: 100 };
  expect(maxUnattendedLeaseMs(short)).toEqual(BOUNDS.minMs);
});

test("the time without a run bounds a lease where no time for cancels is stated", () => {
  const bounds = { ...BOUNDS, cancelMs: undefined };
  const leaseMs = maxUnattendedLeaseMs({ ...bounds, lastingGapMs: 6_000 });
  expect(leaseMs < LASTING_GAP_MS).toEqual(true);
});

test("the leader alone bounds a lease where the platform states no time for cancels", () => {
  expect(maxUnattendedLeaseMs({ ...BOUNDS, cancelMs: undefined })).toEqual(
    Infinity,
  );
});
