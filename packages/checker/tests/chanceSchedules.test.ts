import { test } from "node:test";
import { expect } from "earl";
import { runChanceSchedule } from "@rackspan/checker";

// Looks at workers short of processor time are held up on their way.
test("a job of innocent tasks is not given up unless two workers have ended under a task", async () => {
  const { violations, withoutCause } = await runChanceSchedule(52);
  expect({ violations, withoutCause }).toEqual({
    violations: [],
    withoutCause: 0,
  });
});
