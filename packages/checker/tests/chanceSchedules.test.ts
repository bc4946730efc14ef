import { test } from "node:test";
import { expect } from "earl";
import { runChanceSchedule } from "@rackspan/checker";

// Polls of workers that are short of processor time are delayed.
test("a job of tasks that crash no worker fails permanently only after two crashes of workers under one task", async () => {
  const { violations, failedWithoutCause: withoutCause } =
    await runChanceSchedule(52);
  expect({ violations, withoutCause }).toEqual({
    violations: [],
    withoutCause: 0,
  });
});
