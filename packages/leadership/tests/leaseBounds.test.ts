import { test } from "node:test";
import { expect } from "earl";
import { grantedLeaseMs, LEASE } from "@rackspan/leadership";

const BOUNDS = {
  longestMs: 10_000,
  leastMs: 3_500,
  outOfTouchMs: 3_000,
  cancelMs: 3_000,
  stopMs: 400,
};

/**
 * What users would see: tasks of cancelled jobs run on for up to ten seconds.
 *
 * Order of events: the side of a host is removed for good while its worker lives
 * on; then jobs are cancelled whose tasks run there.
 *
 * Cause: nobody can stop them, so that they run until the worker's lease is over,
 * and the lease was the longest that workers take.
 *
 * Evidence: a played day with sides removed, 20 such tasks, the longest 10.2 s.
 */
test("a worker that nobody reaches ends its tasks within the time for cancelled ones", () => {
  const leaseMs = grantedLeaseMs(BOUNDS);
  const latestEnd = leaseMs * (1 + LEASE.workerClockDrift);
  expect(latestEnd <= 3_000 + 3_000 + 400).toEqual(true);
  expect(leaseMs > 6_000).toEqual(true);
});

test("a lease is never longer than workers take, nor shorter than a change of leader", () => {
  expect(grantedLeaseMs({ ...BOUNDS, longestMs: 5_000 })).toEqual(5_000);
  expect(grantedLeaseMs({ ...BOUNDS, outOfTouchMs: 500 })).toEqual(3_823);
  const short = { ...BOUNDS, outOfTouchMs: 100, cancelMs: 100 };
  expect(grantedLeaseMs(short)).toEqual(3_500);
});

test("a lease is the longest that workers take where nothing else bounds it", () => {
  expect(grantedLeaseMs({ ...BOUNDS, cancelMs: undefined })).toEqual(10_000);
});
