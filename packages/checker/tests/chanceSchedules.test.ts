import { test } from "node:test";
import { expect } from "earl";
import { runChanceSchedule } from "@rackspan/checker";

// Looks at workers short of processor time wait on their way, and one that broke off
// was taken for proof: a job was given up under whose tasks one worker had ended.
test("a job of innocent tasks is not given up unless two workers have ended under a task", async () => {
  const { violations, withoutCause } = await runChanceSchedule(52);
  expect({ violations, withoutCause }).toEqual({
    violations: [],
    withoutCause: 0,
  });
});
