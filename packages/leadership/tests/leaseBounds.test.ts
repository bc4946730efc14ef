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
/** Users require that a lasting task has a run again within this time. */
const LASTING_GAP_MS = 6_000;
/** The side is away for 3 s, then starts, attaches and receives a grant within 1.5 s. */
const AWAY_AND_BACK_MS = 3_000 + 1_500;

test("a worker whose side is gone ends its tasks within the time allowed for cancelled tasks", () => {
  const leaseMs = maxUnattendedLeaseMs(BOUNDS);
  const latestEnd = leaseMs * (1 + LEASE.workerClockDrift);
  expect(latestEnd <= 3_000 + 3_000 + 400).toEqual(true);
  expect(leaseMs > 6_000).toEqual(true);
});

test("a lease outlasts a restart of the side", () => {
  const short = { ...BOUNDS, outOfTouchMs: 100, cancelMs: 100 };
  expect(maxUnattendedLeaseMs(short)).toEqual(3_000);
});

test("a lasting task of a silent worker starts elsewhere within the allowed gap", () => {
  const bounds = { ...BOUNDS, lastingGapMs: LASTING_GAP_MS };
  const expiresBy = latestLeaseExpiry(0, maxUnattendedLeaseMs(bounds));
  expect(expiresBy + LEASE.replacementDelayMs <= LASTING_GAP_MS).toEqual(true);
});

test("a side that returns soon finds its tasks running, however short the allowed gap", () => {
  const bounds = { ...BOUNDS, lastingGapMs: LASTING_GAP_MS };
  expect(maxUnattendedLeaseMs(bounds) >= AWAY_AND_BACK_MS).toEqual(true);
  const short = { ...BOUNDS, lastingGapMs: 100 };
  expect(maxUnattendedLeaseMs(short)).toEqual(BOUNDS.minMs);
});

test("the allowed gap bounds a lease if no cancellation time is configured", () => {
  const bounds = { ...BOUNDS, cancelMs: undefined };
  const leaseMs = maxUnattendedLeaseMs({ ...bounds, lastingGapMs: 6_000 });
  expect(leaseMs < LASTING_GAP_MS).toEqual(true);
});

test("only the leader bounds a lease if the platform configures no cancellation time", () => {
  expect(maxUnattendedLeaseMs({ ...BOUNDS, cancelMs: undefined })).toEqual(
    Infinity,
  );
});
