import { test } from "node:test";
import { expect } from "earl";
import { LEASE, unattendedLeaseMs } from "@rackspan/leadership";

const BOUNDS = {
  leastMs: 3_000,
  outOfTouchMs: 3_000,
  cancelMs: 3_000,
  stopMs: 400,
};

test("a worker whose side is gone ends its tasks within the time for cancelled ones", () => {
  const leaseMs = unattendedLeaseMs(BOUNDS);
  const latestEnd = leaseMs * (1 + LEASE.workerClockDrift);
  expect(latestEnd <= 3_000 + 3_000 + 400).toEqual(true);
  expect(leaseMs > 6_000).toEqual(true);
});

test("a lease outlasts a side that is started anew", () => {
  const short = { ...BOUNDS, outOfTouchMs: 100, cancelMs: 100 };
  expect(unattendedLeaseMs(short)).toEqual(3_000);
});

test("the leader alone bounds a lease where the platform states no time for cancels", () => {
  expect(unattendedLeaseMs({ ...BOUNDS, cancelMs: undefined })).toEqual(
    Infinity,
  );
});
