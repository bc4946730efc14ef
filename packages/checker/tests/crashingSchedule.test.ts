/** Jobs beside tasks that crash their workers: the hosts of suspects must leave room for them. */

import { test } from "node:test";
import { expect } from "earl";
import { runCrashingSchedule } from "@rackspan/checker";

// Suspects in turn held four of five hosts for 19 s, so that a plain job was not done in time.
test("plain jobs are done in time beside suspects that are started in turn on nearly all hosts", async () => {
  const violations = await runCrashingSchedule(777_035);
  expect(violations).toEqual([]);
});
